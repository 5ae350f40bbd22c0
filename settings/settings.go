// Package settings holds the static settings of a process, which it reads from a
// JSON file at start-up. Package config holds what operators change at run time.
package settings

import (
	"bytes"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"

	"fulmarhoist.example/config"
	"fulmarhoist.example/service"
	"fulmarhoist.example/settings/strictjson"
)

// Settings are the static settings of an entry instance. Every field is
// required unless its description says that it is optional.
type Settings struct {
	// Instance is the id of this instance, unique among all instances that run
	// at the same time.
	Instance string `json:"instance"`
	// Zone is the availability zone that this instance runs in.
	Zone string `json:"zone"`
	// Callers is the endpoint for callers.
	Callers Endpoint `json:"callers"`
	// Peers is the endpoint for other entry instances.
	Peers Endpoint `json:"peers"`
	// LogServiceURL is the base URL of the platform's log service, with the
	// scheme http or https.
	LogServiceURL string `json:"log_service_url"`
	// LogRetentionMs is how long the log service keeps records, in
	// milliseconds. Optional; 3600000 (one hour) if left out. A value below
	// the retention time of the log service is safe, but makes checkpoints
	// more frequent.
	LogRetentionMs int `json:"log_retention_ms,omitempty"`
	// InstanceListURL is the base URL of the platform's instance list, with
	// the scheme http or https.
	InstanceListURL string `json:"instance_list_url"`
	// SharedKey is the secret with which instances and operators authenticate
	// to each other.
	SharedKey SharedKey `json:"shared_key"`
	// Traces selects the exporter of trace spans.
	Traces Traces `json:"traces"`
	// LogLevel is the minimum level of log lines that are written: debug, info,
	// warn or error.
	LogLevel string `json:"log_level"`
	// Policy is the load balancing policy: sed (shortest expected delay), rr
	// (round robin), random, least (fewest requests in flight) or p2c (power of
	// two choices). Optional; sed if left out. The others are baselines for
	// measurements.
	Policy string `json:"policy,omitempty"`
	// Seeds are peer addresses to try while the instance list does not answer.
	// Optional. They are validated, but not used yet.
	Seeds []string `json:"seeds,omitempty"`
}

// Endpoint is an address to listen on and the address that others use for it.
type Endpoint struct {
	// Listen is the host:port to listen on, for example 0.0.0.0:8001.
	Listen string `json:"listen"`
	// Advertise is the host:port that others connect to, for example
	// 127.0.0.1:8001. Its host cannot be 0.0.0.0 or [::].
	Advertise string `json:"advertise"`
}

// SharedKey is the shared key itself or the path of its file. Exactly one of
// file and value is set.
type SharedKey struct {
	// File is the path of a file that holds the key. Line breaks at its end are
	// not part of the key. Optional.
	File string `json:"file,omitempty"`
	// Value is the key itself, 16 to 4096 bytes. Optional.
	Value Secret `json:"value,omitempty"`
}

// Traces selects the exporter of trace spans.
type Traces struct {
	// Exporter is otlp, file or off.
	Exporter string `json:"exporter"`
	// URL is the OTLP endpoint, with the scheme http or https. Required for
	// the exporter otlp, and not allowed otherwise.
	URL string `json:"url,omitempty"`
	// File is the path of the file that spans are appended to. Required for
	// the exporter file, and not allowed otherwise.
	File string `json:"file,omitempty"`
}

// Secret is a string that is redacted when it is formatted or encoded.
type Secret string

const redacted = "[redacted]"

// String returns a placeholder for the secret.
func (Secret) String() string { return redacted }

// GoString returns a placeholder for the secret.
func (Secret) GoString() string { return redacted }

// MarshalText returns a placeholder for the secret.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

const (
	minKeyBytes        = 16
	maxKeyBytes        = 4096
	defaultRetentionMs = 60 * 60 * 1000
	minRetentionMs     = 60 * 1000
	maxRetentionMs     = 366 * 24 * 60 * 60 * 1000
	maxSeeds           = 256
	maxPathBytes       = 4096
)

// InvalidError lists all problems of a settings file. fulmarhoistd exits with
// code 2 on it.
type InvalidError = config.InvalidError

// FileError reports a file that could not be read.
type FileError struct {
	Kind, Path string // Kind is "settings file" or "shared key file"
	Err        error
}

func (e *FileError) Error() string {
	return fmt.Sprintf("reading the %s %s: %v", e.Kind, e.Path, e.Err)
}

func (e *FileError) Unwrap() error { return e.Err }

// KeySizeError reports a shared key file whose key is too short or too long.
type KeySizeError struct {
	Path  string
	Bytes int
}

func (e *KeySizeError) Error() string {
	return fmt.Sprintf("shared key file %s: the key has %d bytes, want %d to %d", e.Path, e.Bytes, minKeyBytes, maxKeyBytes)
}

// Load reads and parses a settings file.
func Load(path string) (*Settings, error) {
	data, err := readLimited(path, strictjson.MaxBytes)
	if err != nil {
		return nil, &FileError{Kind: "settings file", Path: path, Err: err}
	}
	return Parse(data)
}

// Parse decodes and validates the content of a settings file. The error is an
// *InvalidError.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{LogRetentionMs: defaultRetentionMs, Policy: string(service.PolicyShortestExpectedDelay)}
	if problems := strictjson.Decode(data, s); len(problems) > 0 {
		return nil, &InvalidError{Subject: "the settings file", Problems: problems}
	}
	return s, nil
}

// Key returns the shared key. It reads the key file if one is set.
func (s *Settings) Key() ([]byte, error) {
	if s.SharedKey.File == "" {
		return []byte(string(s.SharedKey.Value)), nil
	}
	data, err := readLimited(s.SharedKey.File, maxKeyBytes+2)
	if err != nil {
		return nil, &FileError{Kind: "shared key file", Path: s.SharedKey.File, Err: err}
	}
	key := bytes.TrimRight(data, "\r\n")
	if len(key) < minKeyBytes || len(key) > maxKeyBytes {
		return nil, &KeySizeError{Path: s.SharedKey.File, Bytes: len(key)}
	}
	return key, nil
}

// readLimited reads at most one byte more than limit, so that the caller can
// detect a file that is too large.
func readLimited(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close() //nolint:errcheck // the file is open for reading only
	return io.ReadAll(io.LimitReader(file, limit+1))
}

// Validate returns a problem for each invalid value.
func (s *Settings) Validate() []config.Problem {
	var ps config.Problems
	ps.CheckName("instance", s.Instance)
	ps.CheckName("zone", s.Zone)
	s.Callers.validate(&ps, "callers")
	s.Peers.validate(&ps, "peers")
	if s.Callers.Listen == s.Peers.Listen {
		ps.Add("peers.listen", "same address as callers.listen", "use a different port")
	}
	if s.Callers.Advertise == s.Peers.Advertise {
		ps.Add("peers.advertise", "same address as callers.advertise", "use a different port")
	}
	checkBaseURL(&ps, "log_service_url", s.LogServiceURL)
	ps.CheckInt("log_retention_ms", int64(s.LogRetentionMs), config.Range{Min: minRetentionMs, Max: maxRetentionMs})
	checkBaseURL(&ps, "instance_list_url", s.InstanceListURL)
	s.SharedKey.validate(&ps)
	s.Traces.validate(&ps)
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		ps.Add("log_level", fmt.Sprintf("%q is not a log level", config.Shorten(s.LogLevel)), "use debug, info, warn or error")
	}
	if !service.PolicyName(s.Policy).Valid() {
		ps.Add("policy", fmt.Sprintf("%q is not a policy", config.Shorten(s.Policy)), "use sed, rr, random, least or p2c")
	}
	if len(s.Seeds) > maxSeeds {
		ps.Add("seeds", fmt.Sprintf("the list has %d entries", len(s.Seeds)), fmt.Sprintf("list at most %d", maxSeeds))
	}
	for i, seed := range s.Seeds {
		ps.CheckAddress(fmt.Sprintf("seeds[%d]", i), seed)
	}
	return ps
}

func (e Endpoint) validate(ps *config.Problems, path string) {
	ps.CheckAddress(path+".listen", e.Listen)
	ps.CheckAddress(path+".advertise", e.Advertise)
	for _, wildcardPrefix := range []string{"0.0.0.0:", "[::]:"} {
		if len(e.Advertise) >= len(wildcardPrefix) && e.Advertise[:len(wildcardPrefix)] == wildcardPrefix {
			ps.Add(path+".advertise", fmt.Sprintf("%q is a wildcard address, to which nobody can connect", e.Advertise), "use an address that others can reach")
		}
	}
}

func (k SharedKey) validate(ps *config.Problems) {
	switch {
	case k.File == "" && k.Value == "":
		ps.Add("shared_key", "neither file nor value is set", "set one of them")
	case k.File != "" && k.Value != "":
		ps.Add("shared_key", "both file and value are set", "set only one of them")
	case k.File != "":
		ps.CheckText("shared_key.file", k.File, maxPathBytes)
	case len(k.Value) < minKeyBytes || len(k.Value) > maxKeyBytes:
		ps.Add("shared_key.value", fmt.Sprintf("the key has %d bytes", len(k.Value)),
			fmt.Sprintf("use %d to %d random bytes", minKeyBytes, maxKeyBytes))
	}
}

func (t Traces) validate(ps *config.Problems) {
	switch t.Exporter {
	case "otlp":
		checkBaseURL(ps, "traces.url", t.URL)
	case "file":
		ps.CheckText("traces.file", t.File, maxPathBytes)
	case "off":
	default:
		ps.Add("traces.exporter", fmt.Sprintf("%q is not an exporter", config.Shorten(t.Exporter)), "use otlp, file or off")
		return
	}
	if t.URL != "" && t.Exporter != "otlp" {
		ps.Add("traces.url", "has no effect with the exporter "+t.Exporter, "remove it or use the exporter otlp")
	}
	if t.File != "" && t.Exporter != "file" {
		ps.Add("traces.file", "has no effect with the exporter "+t.Exporter, "remove it or use the exporter file")
	}
}

// checkBaseURL adds a problem if value is not an http or https URL without
// user, query and fragment.
func checkBaseURL(ps *config.Problems, path, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Hostname() == "" ||
		u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		if strings.Contains(value, "@") {
			value = redacted // it may contain a password
		}
		ps.Add(path, fmt.Sprintf("%q is not a base URL", config.Shorten(value)),
			"use http or https with a host and without user, query and fragment, for example http://127.0.0.1:7000")
	}
}
