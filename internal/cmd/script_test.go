package cmd

import (
	"net/http/httptest"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"sandbarrow.example/sandbarrow/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"sandbarrow": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the commands as programs. Each script has its own store.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			server := httptest.NewServer(standin.NewKV(standin.KVLimits{}))
			e.Defer(server.Close)
			e.Setenv("STORE", server.URL)
			return nil
		},
	})
}
