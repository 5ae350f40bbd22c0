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

// Tracing is the tracer of a process with the exporter behind it.
type Tracing struct {
	trace.Tracer
	close func(context.Context) error
}

// TracingError reports an exporter that could not be made.
type TracingError struct {
	Exporter string
	Err      error
}

func (e *TracingError) Error() string { return fmt.Sprintf("trace exporter %s: %v", e.Exporter, e.Err) }

func (e *TracingError) Unwrap() error { return e.Err }

// NewTracing returns a tracer that exports to an OTLP endpoint over HTTP if the
// URL is set, else to a file as JSON lines if the path is set, else nowhere.
func NewTracing(ctx context.Context, instance, otlpURL, path string) (*Tracing, error) {
	switch {
	case otlpURL != "":
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(otlpURL))
		if err != nil {
			return nil, &TracingError{"otlp", err}
		}
		return provide(instance, exporter, func() error { return nil }), nil
	case path != "":
		file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, &TracingError{"file", err}
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return nil, &TracingError{"file", err}
		}
		return provide(instance, exporter, file.Close), nil
	default:
		return &Tracing{
			Tracer: noop.NewTracerProvider().Tracer("fulmarhoist"),
			close:  func(context.Context) error { return nil },
		}, nil
	}
}

func provide(instance string, exporter sdk.SpanExporter, closeOutput func() error) *Tracing {
	provider := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "fulmarhoist"),
			attribute.String("service.instance.id", instance),
		)),
	)
	return &Tracing{
		Tracer: provider.Tracer("fulmarhoist"),
		close: func(ctx context.Context) error {
			if err := provider.Shutdown(ctx); err != nil {
				return fmt.Errorf("flush spans: %w", err)
			}
			return closeOutput()
		},
	}
}

// Close exports the spans that are not exported yet.
func (t *Tracing) Close(ctx context.Context) error { return t.close(ctx) }
