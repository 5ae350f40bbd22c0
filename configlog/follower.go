package configlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fulmarhoist.example/backing"
	"fulmarhoist.example/config"
)

// maxPageRecords limits the number of records in one read, and thereby its
// memory.
const maxPageRecords = 16

// LogResetError reports a log that ends at offset End although the record at
// offset Read was read earlier: the log lost records or was replaced. The
// configuration in force is kept.
type LogResetError struct{ Read, End uint64 }

func (e *LogResetError) Error() string {
	return fmt.Sprintf("the configuration stream ends at offset %d, but the record at offset %d was read before", e.End, e.Read)
}

// readResult is the outcome of one read: the decoded records or an error.
type readResult struct {
	batch config.Batch
	err   error
}

// readPage reads and decodes records, starting at offset from.
func readPage(ctx context.Context, log backing.Log, from uint64, timeout time.Duration) readResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	page, err := log.Read(ctx, backing.ConfigStream, from, maxPageRecords)
	if err != nil {
		return readResult{err: fmt.Errorf("reading the configuration stream from offset %d: %w", from, err)}
	}
	if page.Next < from {
		return readResult{err: fmt.Errorf("reading the configuration stream: %w", &LogResetError{Read: from - 1, End: page.Next})}
	}
	b := config.Batch{From: from, First: page.First, End: page.Next, Entries: make([]config.Entry, 0, len(page.Records))}
	for _, r := range page.Records {
		b.Entries = append(b.Entries, config.Entry{Offset: r.Offset, Record: Decode(r.Data)})
	}
	return readResult{batch: b}
}

// applyRead applies the result of a read to machine. The result more reports
// whether the log is known to hold further records.
func applyRead(machine *config.StateMachine, now time.Time, res readResult) (verdicts []config.Verdict, more bool, err error) {
	var trimmed *backing.TrimmedError
	if errors.As(res.err, &trimmed) && trimmed.First > machine.ReadFrom() {
		machine.LogTrimmed(trimmed.First)
		return nil, true, nil
	}
	if res.err != nil {
		machine.LogFailed()
		return nil, false, res.err
	}
	verdicts = machine.Consume(now, res.batch)
	return verdicts, len(res.batch.Entries) > 0 && machine.ReadFrom() < res.batch.End, nil
}

// backoff returns the delay before the next attempt after consecutive failures.
// It grows exponentially from base up to limit. Jitter shortens it by up to
// half, so that instances do not retry at the log service at the same time;
// random is a number from 0 to 1.
func backoff(base, limit time.Duration, failures int, random float64) time.Duration {
	wait := limit
	if failures < 16 {
		wait = min(limit, base<<failures)
	}
	return wait - time.Duration(random*float64(wait)/2)
}
