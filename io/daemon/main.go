package daemon

import (
	"context"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"sassafrasvalve/io/config"
)

// Main runs a daemon with its log on standard error until ctx ends and the stop is complete.
func Main(ctx context.Context, s config.Settings) error {
	log, err := newLog(s.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }() // standard error may not support it
	defer zap.RedirectStdLog(log)()   // net/http reports surplus bytes of workers through the standard logger
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
