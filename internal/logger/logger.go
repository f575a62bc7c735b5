package logger

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/rotisserie/eris"
)

// Config configures a logger.
type Config struct {
	// Level is the lowest level to write: debug, info, warn or error.
	Level string
	// Role and Instance are added to every line.
	Role     string
	Instance string
}

// New returns a logger that writes JSON lines to standard error.
func New(cfg Config) (l *zap.Logger, err error) {
	zc := zap.NewProductionConfig()
	if zc.Level, err = zap.ParseAtomicLevel(cfg.Level); err != nil {
		return nil, eris.Wrap(err, "parse log level")
	}
	zc.Sampling = nil
	zc.DisableCaller = true
	zc.DisableStacktrace = true
	zc.EncoderConfig.TimeKey = "time"
	zc.EncoderConfig.MessageKey = "name"
	zc.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	if cfg.Instance != "" {
		zc.InitialFields = map[string]any{"role": cfg.Role, "instance": cfg.Instance}
	}
	return zc.Build()
}
