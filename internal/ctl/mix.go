package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"fulmarhoist.example/caller"
	"fulmarhoist.example/internal/loadgen"
)

// mixClass is one class of requests in the mix, from the file given to --mix or
// from the flag --request.
type mixClass struct {
	Name       string            `json:"name"` // shown in reports; service/class if empty
	Service    string            `json:"service"`
	Class      string            `json:"class"`
	Weight     float64           `json:"weight"` // relative share of the requests; 1 if absent
	Idempotent bool              `json:"idempotent"`
	Method     string            `json:"method"`
	Path       string            `json:"path"`
	Headers    map[string]string `json:"headers"`
	Body       string            `json:"body"`
	BodyBytes  int               `json:"body_bytes"` // length of a body of zero bytes, instead of body
	DeadlineMS int64             `json:"deadline_ms"`
}

// mixFile is the file given to --mix.
type mixFile struct {
	Classes []mixClass `json:"classes"`
}

// maxBodyBytes is the maximum length of a generated body in bytes.
const maxBodyBytes = 64 << 20

// loadMix reads the classes from the file and the flags and checks them all.
func loadMix(path string, flags []string) ([]mixClass, error) {
	var file mixFile
	if path != "" {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, &UsageError{fmt.Errorf("--mix: %w", err)}
		}
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&file); err != nil {
			return nil, &UsageError{fmt.Errorf("--mix: %s: %w", path, err)}
		}
	}
	var errs []error
	for _, text := range flags {
		class, err := parseRequestFlag(text)
		errs = append(errs, err)
		file.Classes = append(file.Classes, class)
	}
	if len(file.Classes) == 0 {
		errs = append(errs, &FlagError{"--mix or --request", "is required and must name a class"})
	}
	for n := range file.Classes {
		errs = append(errs, file.Classes[n].normalize(n))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, &UsageError{err}
	}
	return file.Classes, nil
}

// parseRequestFlag parses "service=orders,class=status,weight=8,idempotent=true".
func parseRequestFlag(text string) (mixClass, error) {
	var class mixClass
	var errs []error
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(field, "=")
		if err := class.set(name, value); err != nil {
			errs = append(errs, &FlagError{"--request", fmt.Sprintf("%s: %v", name, err)})
		}
	}
	return class, errors.Join(errs...)
}

// set parses the value of the field with the given name.
func (c *mixClass) set(name, value string) (err error) {
	switch name {
	case "name":
		c.Name = value
	case "service":
		c.Service = value
	case "class":
		c.Class = value
	case "method":
		c.Method = value
	case "path":
		c.Path = value
	case "body":
		c.Body = value
	case "weight":
		c.Weight, err = strconv.ParseFloat(value, 64)
	case "idempotent":
		c.Idempotent, err = strconv.ParseBool(value)
	case "body_bytes":
		c.BodyBytes, err = strconv.Atoi(value)
	case "deadline":
		var deadline time.Duration
		deadline, err = time.ParseDuration(value)
		c.DeadlineMS = deadline.Milliseconds()
	default:
		err = &FlagError{name, "is not a field of a request"}
	}
	return err
}

// normalize sets defaults and reports all invalid fields. n is the index of the
// class in the mix.
func (c *mixClass) normalize(n int) error {
	var errs []error
	check := func(valid bool, field, problem string) {
		if !valid {
			errs = append(errs, &FlagError{fmt.Sprintf("classes[%d].%s", n, field), problem})
		}
	}
	if c.Weight == 0 {
		c.Weight = 1
	}
	if c.Name == "" {
		c.Name = c.Service + "/" + c.Class
	}
	if c.Method == "" {
		c.Method = http.MethodGet
	}
	if c.Path == "" {
		c.Path = "/"
	}
	check(c.Service != "", "service", "is missing")
	check(c.Class != "", "class", "is missing")
	check(c.Weight > 0 && !math.IsInf(c.Weight, 0), "weight", fmt.Sprintf("is %g, must be finite and above 0", c.Weight))
	check(strings.HasPrefix(c.Path, "/"), "path", fmt.Sprintf("%q does not begin with a slash", c.Path))
	check(c.BodyBytes >= 0 && c.BodyBytes <= maxBodyBytes, "body_bytes", fmt.Sprintf("is %d, not between 0 and 67108864", c.BodyBytes))
	check(c.BodyBytes == 0 || c.Body == "", "body_bytes", "is given together with body")
	check(c.DeadlineMS >= 0 && c.DeadlineMS <= (24*time.Hour).Milliseconds(), "deadline_ms", fmt.Sprintf("is %d ms, not between 0 and 24 h", c.DeadlineMS))
	if len(errs) == 0 {
		request := c.request()
		if err := request.Validate(); err != nil {
			errs = append(errs, fmt.Errorf("classes[%d]: %w", n, err))
		}
	}
	return errors.Join(errs...)
}

func (c *mixClass) request() caller.Request {
	body := []byte(c.Body)
	if c.BodyBytes > 0 {
		body = make([]byte, c.BodyBytes)
	}
	header := http.Header{}
	for name, value := range c.Headers {
		header.Set(name, value)
	}
	return caller.Request{
		Service: c.Service, Class: c.Class, Idempotent: c.Idempotent, Method: c.Method, Path: c.Path,
		Header: header, Body: body, Deadline: time.Duration(c.DeadlineMS) * time.Millisecond,
	}
}

func scheduleClasses(mix []mixClass) []loadgen.Class {
	var classes []loadgen.Class
	for _, c := range mix {
		classes = append(classes, loadgen.Class{Name: c.Name, Weight: c.Weight})
	}
	return classes
}
