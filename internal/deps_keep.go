//go:build keepdeps

package internal

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/errors"
	_ "github.com/leanovate/gopter"
	_ "github.com/oklog/run"
	_ "github.com/oklog/ulid/v2"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/spf13/cobra"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
)
