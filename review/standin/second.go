package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// garbleShare of the engines give garbleRate of their answers a second time, for garbleTime; as in the
	// site file's garble with "extra late".
	garbleShare = 0.6
	garbleRate  = 0.03
	garbleTime  = 5 * time.Second
	// garbles is how often that happens, with garblePause between.
	garbles     = 12
	garblePause = time.Second
	// sendInterval is the time between two requests.
	sendInterval = 60 * time.Millisecond
)

// digestManifest is a manifest with one route for digests: a stream after two stages.
func digestManifest() obj {
	pieces := obj{"slots": 1, "queue": 2, "batch": 8, "callMs": 200, "itemMs": 21, "roomMb": 18, "handleS": 4, "linkMbps": 10000}
	return obj{
		"routes": []obj{{
			"name": "notice-digest", "host": host, "pathPrefix": "/digest/", "routeType": "streaming", "timeoutMs": 6000,
			"targetLatencyMs": 2000, "gapAimMs": 400, "priority": 0, "service": "planner-llm", "maxAttempts": 1, "sessionAffinity": true,
			"stages": []obj{{"service": "roster-api", "after": []int{}, "bytes": 8000}, {"service": "notice-feed", "after": []int{0}, "bytes": 60000}},
		}},
		"services": []obj{
			{"name": "planner-llm", "healthPath": "/health", "engine": obj{"slots": 64, "kvCapacity": 328764}},
			{"name": "roster-api", "healthPath": "/health", "pieces": pieces},
			{"name": "notice-feed", "healthPath": "/health", "pieces": pieces},
		},
		"tenants": []obj{{"name": "bozi300", "apiKeys": []string{keyOf("bozi300")}}}, "limits": limits(),
	}
}

// secondAnswer lets engines of the stages give some answers a second time, late, and checks which results
// the engines are given as inputs.
func secondAnswer(dep *deployment, trouble bool) (bool, error) {
	hds := newHandles(dep.rec, map[int][]int{0: nil, 1: {0}})
	var stages []*stageEngine
	for i := range 8 {
		service := []string{"roster-api", "notice-feed"}[i%2]
		eng, err := newStageEngine(dep, hds, service, fmt.Sprintf("i-s%d", i+1), dep.zones[i/2%2], 200*time.Millisecond, 21*time.Millisecond)
		if err != nil {
			return false, err
		}
		stages = append(stages, eng)
	}
	for i, zone := range dep.zones {
		if _, err := newModelEngine(dep, hds, "planner-llm", fmt.Sprintf("i-m%d", i+1), zone, []int{1}); err != nil {
			return false, err
		}
	}
	dep.publish(digestManifest())
	if err := dep.start(3); err != nil {
		return false, err
	}
	addrs, err := dep.resolve(context.Background(), host, dep.nodes[0])
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for range garbles {
			if trouble {
				for _, i := range rand.Perm(len(stages))[:int(garbleShare*float64(len(stages)))] {
					stages[i].garble(garbleRate)
				}
			}
			time.Sleep(garbleTime)
			for _, eng := range stages {
				eng.garble(0)
			}
			time.Sleep(garblePause)
		}
	}()
	served, sent := sendDigests(dep.rec, hds, addrs, ended)
	second := 0
	for _, eng := range stages {
		second += eng.second
	}
	dep.rec.printf("%d of %d requests served, %d answers given a second time, %d wrong inputs", served, sent, second, hds.wrongInputs())
	if served < sent/2 {
		return false, fmt.Errorf("less than half of the requests are served")
	}
	return hds.wrongInputs() == 0, nil
}

// sendDigests sends requests until a channel is closed, and counts those that were served.
func sendDigests(rec *record, hds *handles, addrs []string, ended <-chan struct{}) (served, sent int) {
	con := newConsumer()
	var grp sync.WaitGroup
	var mtx sync.Mutex
	for {
		select {
		case <-ended:
			grp.Wait()
			return served, sent
		case <-time.After(sendInterval):
		}
		id, addr := newID(), addrs[rand.IntN(len(addrs))]
		hds.want(id, []int{1, 1})
		sent++
		grp.Go(func() {
			rep := con.send(addr, "/digest/2f", id, 6*time.Second, map[string]string{
				"Authorization": "Bearer " + keyOf("bozi300"), "Amaranthvalve-Model": "m", "Amaranthvalve-Token-Usage": "2368,24",
				"Amaranthvalve-Prompt-Prefix": "5c1e07a2:341,91bd3f06:227," + id + ":1800", "Amaranthvalve-Pieces": "1,1", "Amaranthvalve-Piece-Key": newID()[:12],
			}, "digest of "+id)
			rec.printf("%s answered: status %d, %d bytes, signed %v, error %v", id, rep.status, len(rep.body), rep.signed, rep.err)
			if rep.status == 200 && rep.err == nil {
				mtx.Lock()
				defer mtx.Unlock()
				served++
			}
		})
	}
}
