package filter

import (
	"context"

	"amaranthvalve/internal/stage"
	"amaranthvalve/pkg/outcm"
)

// job returns the job of the call for package stage.
func (cl *Call) job(chn *Chain) *stage.Job {
	job := &stage.Job{
		RequestID: cl.requestID, Workspace: cl.wsp, Doc: cl.doc, Kind: cl.kind,
		Input: cl.Submit.Input, Deadline: cl.deadline, MaxTokens: cl.Submit.MaxTokens, Stream: cl.stream,
		OnToken: cl.OnToken,
	}
	if cl.Submit.Resume != nil {
		job.Have = cl.Submit.Resume.Have
	}
	if cl.OnOpen != nil {
		job.OnOpen = func(ref stage.StreamRef) {
			cl.OnOpen(chn.sealer.seal(token{RequestID: cl.requestID, Digest: cl.digest(), Stream: ref}))
		}
	}
	return job
}

// run runs the request through its stages.
func (chn *Chain) run(ctx context.Context, cl *Call) outcm.Result {
	job := cl.job(chn)
	out, res := chn.rnr.Run(ctx, job)
	cl.output, cl.times, cl.count = out, job.Times(), job.Count()
	return res
}
