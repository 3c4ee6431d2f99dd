package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// revokeTime is the bound revokeMs.
	revokeTime = 5 * time.Second
	// revokeGap is the pause between two revocations, gap_s of the site file.
	revokeGap = 1500 * time.Millisecond
)

// tenants returns the tenants of a manifest, each with its key unless that was taken away.
func tenants(gone map[string]bool) []obj {
	var list []obj
	for _, name := range []string{"bozi300", "kela114"} {
		keys := []string{}
		if key := keyOf(name); !gone[key] {
			keys = append(keys, key)
		}
		list = append(list, obj{"name": name, "apiKeys": keys})
	}
	return list
}

func keyOf(tenant string) string { return "key-of-" + tenant }

// bookingManifest is a manifest with one route for bookings.
func bookingManifest(gone map[string]bool) obj {
	return obj{
		"routes": []obj{{
			"name": "booking-confirm", "host": host, "pathPrefix": "/booking/", "routeType": "non_idempotent", "timeoutMs": 4000,
			"targetLatencyMs": 300, "priority": 2, "service": "booking-api", "maxAttempts": 1,
		}},
		"services": []obj{{"name": "booking-api", "healthPath": "/health"}},
		"tenants":  tenants(gone), "limits": limits(),
	}
}

// revokedKeys takes the keys away one after the other, and sends requests with each of them once the last
// revocation was acknowledged longer than revokeMs ago.
func revokedKeys(dep *deployment, trouble bool) (bool, error) {
	engines, err := bookingEngines(dep)
	if err != nil {
		return false, err
	}
	dep.publish(bookingManifest(nil))
	if err := dep.start(3); err != nil {
		return false, err
	}
	addrs, err := dep.resolve(context.Background(), host, dep.nodes[0])
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	chk := &keyCheck{dep: dep, con: newConsumer(), addrs: addrs, engines: engines}
	for _, tenant := range []string{"bozi300", "kela114"} {
		if chk.count(tenant, keyOf(tenant)) == 0 {
			return false, fmt.Errorf("requests of %s are not served before the disruption", tenant)
		}
	}
	gone := map[string]bool{}
	for _, tenant := range []string{"bozi300", "kela114"} {
		time.Sleep(revokeGap)
		if trouble || tenant == "bozi300" {
			gone[keyOf(tenant)] = true
		}
		dep.publish(bookingManifest(gone))
	}
	time.Sleep(revokeTime + 500*time.Millisecond)
	broken := chk.count("", "key-that-no-manifest-held")
	for _, tenant := range []string{"bozi300", "kela114"} {
		if gone[keyOf(tenant)] {
			broken += chk.count("", keyOf(tenant))
		}
	}
	if !trouble && chk.count("kela114", keyOf("kela114")) == 0 {
		return false, fmt.Errorf("the remaining key is not served")
	}
	dep.rec.printf("%d requests ran that must not", broken)
	return broken == 0, nil
}

func bookingEngines(dep *deployment) ([]*plainEngine, error) {
	var list []*plainEngine
	for i, zone := range []string{"hall-a", "hall-b"} {
		eng, err := newPlainEngine(dep, "booking-api", fmt.Sprintf("i-b%d", i+1), zone, 20*time.Millisecond)
		if err != nil {
			return nil, err
		}
		list = append(list, eng)
	}
	return list, nil
}

// keyCheck sends requests with a key to all instances.
type keyCheck struct {
	dep     *deployment
	con     *consumer
	addrs   []string
	engines []*plainEngine
}

// count sends requests with a key and returns how many ran.
func (chk *keyCheck) count(tenant, key string) (count int) {
	for i, addr := range chk.addrs {
		for range 3 {
			id := newID()
			rep := chk.con.send(addr, "/booking/2f", id, 3*time.Second, map[string]string{"Authorization": "Bearer " + key}, "track 7")
			text := "not run"
			for _, eng := range chk.engines {
				if run, ok := eng.ran(id); ok {
					count++
					text = fmt.Sprintf("run by %s, Amaranthvalve-Tenant-Id %q", eng.id, run.tenant)
				}
			}
			chk.dep.rec.printf("sent %s with %q (tenant %q) to instance %d: status %d, signed %v, error %v; %s", id, key, tenant, i+1, rep.status, rep.signed, rep.err, text)
		}
	}
	return count
}
