package directory

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/boottime"
)

// SoftwareRetention is how long a software version counts that is no longer listed. Streams that began
// with it live no longer.
const SoftwareRetention = time.Minute

// listedSoftware is a software version of a service.
type listedSoftware struct {
	service  sandbarrow.ServiceID
	software sandbarrow.SoftwareVersion
}

// OnlySoftware returns the software version of all upstreams of a service that are listed, or were
// within SoftwareRetention. It returns "" if there are several, or if that of any upstream is unknown.
func (d *Directory) OnlySoftware(id sandbarrow.ServiceID) sandbarrow.SoftwareVersion {
	d.mu.Lock()
	defer d.mu.Unlock()
	only := sandbarrow.SoftwareVersion("")
	for _, l := range d.entries {
		switch {
		case l.instance.Service != id:
			continue
		case only == "":
			only = l.instance.Software
		}
		if !l.instance.Software.Matches(only) {
			return ""
		}
	}
	now := boottime.Now()
	for s, at := range d.formerSoftware {
		if s.service == id && s.software != only && now.Sub(at) < SoftwareRetention {
			return ""
		}
	}
	return only
}

// recordSoftware records that an upstream with a software version is no longer listed, or not with
// this version. The caller holds mu.
func (d *Directory) recordSoftware(in *sandbarrow.Instance) {
	now := boottime.Now()
	for s, at := range d.formerSoftware {
		if now.Sub(at) >= SoftwareRetention {
			delete(d.formerSoftware, s)
		}
	}
	d.formerSoftware[listedSoftware{service: in.Service, software: in.Software}] = now
}
