package sandbarrow

import (
	"fmt"
	"log/slog"
)

// StoreEra counts how often the platform's store was restored from an older copy of its state. A restore
// loses the writes acknowledged after that copy. The era is 0 if the store does not report one.
type StoreEra uint64

// StoreRevision orders the changes of the platform's store, first by era, then by the store's own
// revision number, which a restored store assigns again. 0 means absent, or before all changes.
type StoreRevision uint64

// eraShift leaves 40 bits, about 10^12, for the revision numbers of an era. Up to era 8191 a
// StoreRevision, and so a fencing token, is below 2^53 and exact in JSON parsers that use float64.
const eraShift = 40

// NewStoreRevision returns the revision with the given era and number. The number 0 means an absent key
// in any era.
func NewStoreRevision(era StoreEra, number uint64) StoreRevision {
	if number == 0 {
		return 0
	}
	return StoreRevision(uint64(era)<<eraShift | number)
}

// Era returns the era in which the store assigned the revision.
func (r StoreRevision) Era() StoreEra { return StoreEra(r >> eraShift) }

// Number returns the store's own revision number, without the era.
func (r StoreRevision) Number() uint64 { return uint64(r) & (1<<eraShift - 1) }

// LogValue formats the revision as era/number, or as the number alone in era 0.
func (r StoreRevision) LogValue() slog.Value {
	if r.Era() == 0 {
		return slog.Uint64Value(r.Number())
	}
	return slog.StringValue(fmt.Sprintf("%d/%d", r.Era(), r.Number()))
}
