package command

import (
	"context"
	"os"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"berylward.example/berylward/internal/gateway"
	"berylward.example/berylward/internal/ossignal"
	"berylward.example/berylward/platform"
)

// settingsPollInterval is the interval between reads of the settings file, which may change without a signal.
const settingsPollInterval = 3 * time.Second

// reloadSettings applies the settings again on SIGHUP and when the file changes. It returns when ctx ends.
func reloadSettings(ctx context.Context, c clock.WithTicker, file string, g *gateway.Gateway, log klog.Logger) {
	ticker := c.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(file)
	if err != nil {
		log.Error(err, "failed to read settings; keeping the current ones", "file", file)
	}
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-ossignal.Reloads():
			signaled = true
		case <-ticker.C():
		}
		data, err := os.ReadFile(file)
		if err != nil {
			log.Error(err, "failed to read settings; keeping the current ones", "file", file)
			continue
		}
		if !signaled && string(data) == string(last) {
			continue
		}
		last = data
		settings, err := platform.LoadSettings(file)
		if err != nil {
			log.Error(err, "invalid settings; keeping the current ones", "file", file)
			continue
		}
		g.Reload(settings.Settings)
		log.Info("settings reloaded", "signal", signaled, "seeds", len(settings.Seeds))
	}
}
