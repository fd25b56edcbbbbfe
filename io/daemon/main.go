package daemon

import (
	"context"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"sassafrasvalve/io/config"
)

// Main runs a daemon that logs to standard error. It returns once ctx has ended and the stop is complete,
// or with an error if the daemon cannot start.
func Main(ctx context.Context, s config.Settings) error {
	log, err := newLog(s.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }() // standard error may not support Sync
	defer zap.RedirectStdLog(log)()   // net/http logs surplus response bytes of workers to the standard logger
	d, err := New(Config{Settings: s, Log: log})
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

func newLog(level string) (*zap.Logger, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(err, "log level %q", level)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(lvl)
	cfg.Sampling = nil
	cfg.EncoderConfig.TimeKey = "Time"
	cfg.EncoderConfig.LevelKey = "Level"
	cfg.EncoderConfig.MessageKey = "Message"
	cfg.EncoderConfig.CallerKey = "Caller"
	cfg.EncoderConfig.StacktraceKey = "Stack"
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return cfg.Build()
}
