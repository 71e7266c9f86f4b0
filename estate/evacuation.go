package estate

import (
	"slices"

	"sandbarrow.example/sandbarrow"
)

// This file follows the evacuations of failure domains. While a domain is evacuated, no request is sent to its
// upstreams. Operators begin an evacuation by writing a key and end it by removing the key.
//
// The removal of a key is kept as an item, so that peers learn of it and an older state does not return. After
// the store was restored from an older copy, a domain is evacuated if the state from before the restore or the
// copy says so: of the two, serving from an evacuated domain is the worse error. Only a removal that the
// operators make after the restore ends such an evacuation.

// Evacuated reports whether no request may be sent to the upstreams of a failure domain. No domain is evacuated
// while no state is known yet (v is nil).
func (v *View) Evacuated(domain sandbarrow.FailureDomain) bool {
	return v != nil && v.evacuated[domain]
}

// EvacuatedDomains returns the evacuated failure domains in alphabetical order.
func (v *View) EvacuatedDomains() []sandbarrow.FailureDomain {
	if v == nil {
		return nil
	}
	var domains []sandbarrow.FailureDomain
	for domain := range v.evacuated {
		domains = append(domains, domain)
	}
	slices.Sort(domains)
	return domains
}

// isEvacuation reports whether a key evacuates a failure domain.
func (e *Estate) isEvacuation(key string) bool {
	_, ok := e.documents.EvacuatedDomain(key)
	return ok
}

// endedEvacuations returns the removals that follow from a complete read of the prefix: of the evacuations that
// are missing from it and are not newer. The caller holds mu.
func (e *Estate) endedEvacuations(items []sandbarrow.KeyItem, at sandbarrow.StoreRevision) []sandbarrow.KeyItem {
	var ended []sandbarrow.KeyItem
	for key, known := range e.items {
		if !e.isEvacuation(key) || known.Deleted || known.Revision.Era() != at.Era() || known.Revision > at {
			continue
		}
		if !slices.ContainsFunc(items, func(it sandbarrow.KeyItem) bool { return it.Key == key }) {
			ended = append(ended, sandbarrow.KeyItem{Deleted: true, Key: key, Revision: at})
		}
	}
	return ended
}

// applyEvacuation applies the begin or the end of an evacuation to next.
func (e *Estate) applyEvacuation(next *View, from source, domain sandbarrow.FailureDomain, it sandbarrow.KeyItem) {
	if it.Deleted {
		delete(next.evacuated, domain)
	} else {
		next.evacuated[domain] = true
	}
	e.logger.Info("evacuation changed", "failure_domain", string(domain), "evacuated", !it.Deleted, "revision", it.Revision, "from", string(from))
}
