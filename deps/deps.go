//go:build deps

// Package deps keeps requirements in go.mod until the packages that use them exist.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/google/uuid"
	_ "github.com/kataras/iris/v12"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/pelletier/go-toml/v2/unstable"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/rotisserie/eris"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "github.com/urfave/cli/v3"
	_ "go.uber.org/zap"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gotest.tools/v3/assert"
	_ "gotest.tools/v3/golden"
	_ "pgregory.net/rapid"
)
