package telemetry

import (
	"context"
	"fmt"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Tracing is the tracer of a process, with its exporter.
type Tracing struct {
	trace.Tracer
	shutdown func(context.Context) error
}

// TracingError reports a span exporter that could not be created.
type TracingError struct {
	Exporter string
	Err      error
}

func (e *TracingError) Error() string {
	return fmt.Sprintf("create trace exporter %s: %v", e.Exporter, e.Err)
}

func (e *TracingError) Unwrap() error { return e.Err }

// NewTracing returns a tracer. It exports spans over HTTP to an OTLP endpoint
// if otlpURL is set, else as JSON lines to a file if path is set. If neither is
// set, it discards them.
func NewTracing(ctx context.Context, instance, otlpURL, path string) (*Tracing, error) {
	switch {
	case otlpURL != "":
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(otlpURL))
		if err != nil {
			return nil, &TracingError{"otlp", err}
		}
		return newTracing(instance, exporter, func() error { return nil }), nil
	case path != "":
		file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, &TracingError{"file", err}
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return nil, &TracingError{"file", err}
		}
		return newTracing(instance, exporter, file.Close), nil
	default:
		return &Tracing{
			Tracer:   noop.NewTracerProvider().Tracer("fulmarhoist"),
			shutdown: func(context.Context) error { return nil },
		}, nil
	}
}

// newTracing returns a tracer for an exporter. closeOutput is called after the
// last span is exported.
func newTracing(instance string, exporter sdk.SpanExporter, closeOutput func() error) *Tracing {
	provider := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "fulmarhoist"),
			attribute.String("service.instance.id", instance),
		)),
	)
	return &Tracing{
		Tracer: provider.Tracer("fulmarhoist"),
		shutdown: func(ctx context.Context) error {
			if err := provider.Shutdown(ctx); err != nil {
				return fmt.Errorf("flush trace spans: %w", err)
			}
			return closeOutput()
		},
	}
}

// Close exports the remaining spans and closes the exporter.
func (t *Tracing) Close(ctx context.Context) error { return t.shutdown(ctx) }
