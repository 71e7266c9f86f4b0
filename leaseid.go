package sandbarrow

import (
	"strconv"
	"strings"
)

// LeaseID identifies a lease granted by the platform's store. It includes the era of the grant, because a
// store that was restored from an older copy may give the same name to another lease.
type LeaseID string

// leaseEraSeparator separates the store's name of a lease from its era.
const leaseEraSeparator = "@"

// NewLeaseID returns the id of the lease that has the given name in an era of the store. An empty name
// yields an empty id, which means no lease.
func NewLeaseID(era StoreEra, name string) LeaseID {
	if era == 0 || name == "" {
		return LeaseID(name)
	}
	return LeaseID(name + leaseEraSeparator + strconv.FormatUint(uint64(era), 10))
}

// Era returns the era in which the lease was granted, or 0 if the store has no eras.
func (i LeaseID) Era() StoreEra {
	_, era, _ := strings.Cut(string(i), leaseEraSeparator)
	number, _ := strconv.ParseUint(era, 10, 64) // 0 without a separator
	return StoreEra(number)
}

// Name returns the name that the store gave to the lease, without the era.
func (i LeaseID) Name() string {
	name, _, _ := strings.Cut(string(i), leaseEraSeparator)
	return name
}
