package caller

import (
	"context"
	"errors"
	"strconv"
	"time"

	"fulmarhoist.example/caller/resend"
)

// call is one execution of Client.Do. It carries out the steps that its plan
// decides on.
type call struct {
	client  *Client
	ctx     context.Context
	request Request
	kind    resend.Kind

	plan     *resend.Plan
	deadline time.Time
	lastKey  string    // request key of the latest copy that had one
	response *Response // response to the latest copy; nil if it was not complete
	cause    error     // latest failure
}

func newCall(client *Client, ctx context.Context, request Request) *call {
	c := &call{client: client, ctx: ctx, request: request, lastKey: request.Key}
	c.deadline, _ = ctx.Deadline()
	if request.Idempotent {
		c.kind = resend.Idempotent
	}
	sends := client.options.MaxSends
	if request.inherited.hasRetriesLeft {
		sends = min(sends, 1+request.inherited.retriesLeft)
	}
	c.plan = resend.New(resend.Terms{
		Kind: c.kind, Deadline: c.deadline, MaxSends: sends, Zone: client.options.Zone, Key: request.Key,
	})
	return c
}

// run carries out steps of the plan until the plan stops.
func (c *call) run() (*Response, error) {
	directory, err := c.client.directory.current(c.ctx)
	if err != nil {
		c.cause = err
		c.plan.Stop()
		return c.result()
	}
	for {
		step := c.plan.Next(time.Now(), directory.Instances, c.client.options.Random)
		if step.RefreshDirectory {
			directory = c.refreshDirectory(directory)
		}
		switch step.Action {
		case resend.ActionStop:
			return c.result()
		case resend.ActionWait:
			if !c.wait(step.Until) {
				c.plan.Stop()
			}
		case resend.ActionSend:
			c.send(step)
		}
		if c.ctx.Err() != nil {
			c.plan.Stop()
		}
	}
}

// refreshDirectory returns a directory that is newer than seen, or seen itself
// if none can be obtained.
func (c *call) refreshDirectory(seen *Directory) *Directory {
	fresh, err := c.client.directory.newerThan(c.ctx, seen)
	if err != nil {
		return seen
	}
	return fresh
}

// wait waits until the given time. It returns false if the call was canceled or
// its deadline passed before.
func (c *call) wait(until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// send sends one copy and records the result in the plan.
func (c *call) send(step resend.Step) {
	if step.Key != "" {
		c.lastKey = step.Key
	}
	response, result, err := c.exchange(step)
	if err != nil {
		c.cause = err
	}
	now := time.Now()
	if result.Event == resend.EventNotSent && c.ctx.Err() == nil {
		step.Instance.Avoid(now.Add(avoidDuration))
	}
	c.plan.Record(now, result, c.client.options.Random)
	c.response = response
}

// result converts the verdict of the plan into the return values of Do.
func (c *call) result() (*Response, error) {
	details := CallDetails{Key: c.lastKey, Sends: c.plan.Sends(), Cause: c.cause}
	if err := c.ctx.Err(); err != nil && !errors.Is(c.cause, err) {
		details.Cause = errors.Join(err, c.cause)
	}
	switch c.plan.Verdict() {
	case resend.VerdictAnswered:
		if c.response == nil && isA[*notKeptError](c.cause) {
			return nil, &AnswerNotKeptError{details}
		}
		if c.response == nil {
			return nil, &AnswerTooLargeError{details, c.client.options.MaxAnswerBytes}
		}
		c.response.Sends = c.plan.Sends()
		return c.response, nil
	case resend.VerdictNotRun:
		return nil, &NotRunError{details}
	case resend.VerdictUnreachable:
		return nil, c.unreachable(details)
	case resend.VerdictTooOld:
		return nil, &TooOldError{details}
	case resend.VerdictCrashesTargets:
		return nil, &CrashesTargetsError{details}
	case resend.VerdictInvalid:
		return nil, &InvalidError{details}
	default:
		return nil, &UnknownError{details}
	}
}

// unreachable returns the error of a call that sent nothing: the DirectoryError
// if no directory was available, otherwise an UnreachableError.
func (c *call) unreachable(details CallDetails) error {
	var directoryError *DirectoryError
	if errors.As(c.cause, &directoryError) {
		return directoryError
	}
	return &UnreachableError{details}
}

// retriesLeft returns the value of the Retries-Left header of the copy that is
// about to be sent: the inherited retries less the resends of this call.
func (c *call) retriesLeft() string {
	return strconv.Itoa(max(0, c.request.inherited.retriesLeft-c.plan.Sends()+1))
}
