package pools

// HasBuild reports whether any endpoint of a pool that isn't leaving has a build.
func (pls *Pools) HasBuild(pool, build string) bool {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	pst := pls.byName[pool]
	if pst == nil {
		return false
	}
	for _, oth := range pst.builds {
		if oth == build {
			return true
		}
	}
	return false
}

// OtherBuilds returns the endpoints of a pool that have another build; none without a build.
func (pls *Pools) OtherBuilds(pool, build string) []string {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	pst := pls.byName[pool]
	if pst == nil || build == "" {
		return nil
	}
	var ids []string
	for id, oth := range pst.builds {
		if oth != build {
			ids = append(ids, id)
		}
	}
	return ids
}
