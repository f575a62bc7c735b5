package cmds

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/configurator"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/reloader"
)

// settingsInterval is the time between checks whether the settings file has changed without a
// signal. Only the seeds take effect then, which a process needs within seconds after a start at
// which those that it knows are gone.
const settingsInterval = 2 * time.Second

// reload follows the settings file of a process.
type reload struct {
	file, role string
	// inUse are the settings in use.
	inUse *configurator.Node
	seeds *configurator.SeedList
	log   *zap.Logger
	// content is the content of the file that was read last.
	content []byte
}

// watch reads the settings file again on SIGHUP and after it has changed, until ctx ends.
func (r *reload) watch(ctx context.Context) {
	if content, err := os.ReadFile(r.file); err == nil {
		r.content = content
	}
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloader.Signals():
			r.apply()
		case <-ticker.C:
			if content, err := os.ReadFile(r.file); err == nil && !bytes.Equal(content, r.content) {
				r.content = content
				r.apply()
			}
		}
	}
}

// apply reads the settings file and logs which settings differ from those in use. New seeds take
// effect at once, the other differences after a restart. If the file is invalid, it logs the error.
func (r *reload) apply() {
	reloaded, err := load(r.file, r.role)
	if err != nil {
		logger.Log(r.log, logger.SettingsRefused, zap.Error(err))
		return
	}
	changed := changedFields(r.inUse, reloaded)
	r.seeds.Set(reloaded.Seeds)
	inUse := *r.inUse
	inUse.Seeds = reloaded.Seeds
	r.inUse = &inUse
	logger.Log(r.log, logger.SettingsReloaded, zap.Strings("changed", changed))
}

// changedFields returns the names of the settings that differ.
func changedFields(a, b *configurator.Node) (names []string) {
	va, vb := reflect.ValueOf(*a), reflect.ValueOf(*b)
	for i := range va.NumField() {
		if !reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			names = append(names, va.Type().Field(i).Tag.Get("json"))
		}
	}
	return names
}
