package testbed

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"
)

// binaries holds the directory of the built programs. They are built once per test process.
var binaries struct {
	// mu guards dir.
	mu sync.Mutex
	// dir is empty until the programs are built.
	dir string
}

// binaryDirectory builds the programs on the first call and returns their directory.
func binaryDirectory() (string, error) {
	binaries.mu.Lock()
	defer binaries.mu.Unlock()
	if binaries.dir != "" {
		return binaries.dir, nil
	}
	root, err := moduleRoot()
	if err != nil {
		return "", err
	}
	dir, err := os.MkdirTemp("", "pimentohead-bin-")
	if err != nil {
		return "", errors.Wrap(err, "testbed: create the directory of the programs")
	}
	build := exec.Command("go", "build", "-o", dir, //nolint:gosec // fixed arguments
		"./cmd/pimentoheadd", "./cmd/pimentoctl", "./cmd/pimentofake")
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		_ = os.RemoveAll(dir) // The build error is reported instead.
		return "", errors.Wrapf(err, "testbed: build the programs: %s", output)
	}
	binaries.dir = dir
	return dir, nil
}

// Daemon builds the programs on the first call and returns the path of pimentoheadd.
func Daemon() (string, error) {
	dir, err := binaryDirectory()
	return filepath.Join(dir, "pimentoheadd"), err
}

// RemoveBinaries deletes the built programs. Call it after the last test has finished, for example in TestMain.
func RemoveBinaries() {
	binaries.mu.Lock()
	defer binaries.mu.Unlock()
	if binaries.dir != "" {
		_ = os.RemoveAll(binaries.dir) // Files that remain are in the system's temporary directory.
		binaries.dir = ""
	}
}

// moduleRoot returns the closest directory at or above the working directory that contains go.mod.
func moduleRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", errors.Wrap(err, "testbed: get the working directory")
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.New("testbed: no go.mod at or above the working directory")
		}
		dir = parent
	}
}
