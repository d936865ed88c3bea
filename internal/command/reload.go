package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/platform"
)

// settingsPoll is how often the settings file is looked at, because it may change without a signal.
const settingsPoll = 3 * time.Second

// reloadSettings puts changed settings into force on a hangup signal, or when the file changes.
func reloadSettings(ctx context.Context, c clock.WithTicker, file string, g *gateway.Gateway, log klog.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := c.NewTicker(settingsPoll)
	defer ticker.Stop()
	last, err := os.ReadFile(file)
	if err != nil {
		log.Error(err, "settings not readable; the former ones hold", "file", file)
	}
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signaled = true
		case <-ticker.C():
		}
		data, err := os.ReadFile(file)
		if err != nil {
			log.Error(err, "settings not readable; the former ones hold", "file", file)
			continue
		}
		if !signaled && string(data) == string(last) {
			continue
		}
		last = data
		settings, err := platform.LoadSettings(file)
		if err != nil {
			log.Error(err, "settings refused; the former ones hold", "file", file)
			continue
		}
		g.Reload(settings.Settings)
		log.Info("settings reloaded", "signal", signaled, "seeds", len(settings.Seeds))
	}
}
