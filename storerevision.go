package sandbarrow

// StoreEra counts how often the platform's store has returned from an older copy of its state, which
// loses what it acknowledged after that copy; 0 where the store names no era.
type StoreEra uint64

// StoreRevision orders the changes of the platform's store: first by era, then by the store's own
// revision within the era, which a store that has returned from a copy gives out again. 0 means
// absent, or before all changes.
type StoreRevision uint64

// eraShift leaves room for 10^12 revisions in an era. Up to era 8191 a StoreRevision is exact in JSON
// readers that know floating-point numbers alone, as a fencing token may meet them.
const eraShift = 40

// NewStoreRevision returns the revision that a store names with a number in an era. The number 0
// stands for an absent key in any era.
func NewStoreRevision(era StoreEra, number uint64) StoreRevision {
	if number == 0 {
		return 0
	}
	return StoreRevision(uint64(era)<<eraShift | number)
}

// Era is the era in which the store gave out the revision.
func (r StoreRevision) Era() StoreEra { return StoreEra(r >> eraShift) }

// Number is the revision as the store names it within its era.
func (r StoreRevision) Number() uint64 { return uint64(r) & (1<<eraShift - 1) }
