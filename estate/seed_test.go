package estate

import "sandbarrow.example/sandbarrow/internal/storetest"

func init() { storetest.FixSeed(1000) }
