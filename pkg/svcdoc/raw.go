package svcdoc

// The raw types mirror the document's format. Each key is described in docs/OPERATIONS.md;
// a test keeps both consistent.

type rawDoc struct {
	Name       string         `toml:"name"`
	Owner      string         `toml:"owner"`
	Weighs     string         `toml:"weighs"`
	Priority   int            `toml:"priority"`
	DeadlineMs int64          `toml:"deadline_ms"`
	KeyLifeMs  int64          `toml:"key_life_ms"`
	Request    []rawRequest   `toml:"request"`
	Stage      []rawStage     `toml:"stage"`
	Workspace  []rawWorkspace `toml:"workspace"`
}

type rawRequest struct {
	Name          string `toml:"name"`
	NonIdempotent bool   `toml:"non_idempotent"`
}

type rawStage struct {
	Name          string   `toml:"name"`
	Kind          string   `toml:"kind"`
	Pool          string   `toml:"pool"`
	After         []string `toml:"after"`
	Model         string   `toml:"model"`
	NeedMs        int64    `toml:"need_ms"`
	NonIdempotent *bool    `toml:"non_idempotent"`
	ChecksFencing bool     `toml:"checks_fencing"`
}

type rawWorkspace struct {
	Name              string  `toml:"name"`
	RequestsPerSecond float64 `toml:"requests_per_second"`
	Burst             int     `toml:"burst"`
	InFlight          int     `toml:"in_flight"`
	Share             int     `toml:"share"`
	TokenSha256       string  `toml:"token_sha256"`
}
