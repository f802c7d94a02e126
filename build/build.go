package build

import (
	"bytes"
	"crypto/sha256"
	"debug/elf"
	"encoding/hex"
	"io"
	"os"
	"runtime/debug"
	"strings"
	"sync"
)

// Version is the version of the program.
const Version = "0.1.0"

// unknown stands for a build that can't be identified because the program's file can't be read.
const unknown = "unknown"

// ID returns what identifies the build of this program: the revision of its sources if the go command has stamped one, with "+changes" if they were modified, or else a digest of the program.
var ID = sync.OnceValue(func() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		if revision := revisionOf(info.Settings); revision != "" {
			return revision
		}
	}
	file, err := os.Executable()
	if err != nil {
		return unknown
	}
	return digestOf(file)
})

// revisionOf returns the stamped revision, empty if there is none.
func revisionOf(settings []debug.BuildSetting) string {
	var revision, changes string
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changes = "+changes"
		}
	}
	if revision == "" {
		return ""
	}
	return revision + changes
}

// digestOf returns the digest of a program that the go command has put into its build ID, the part after the last slash. Reading it takes less time than hashing the program, which counts at each start. A program without a build ID is hashed.
func digestOf(file string) string {
	if id := buildIDOf(file); id != "" {
		return "go:" + id[strings.LastIndexByte(id, '/')+1:]
	}
	f, err := os.Open(file)
	if err != nil {
		return unknown
	}
	defer f.Close()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return unknown
	}
	return "sha256:" + hex.EncodeToString(h.Sum(nil))
}

// noteHeader is the size in bytes of the head of an ELF note: the sizes of its name and of its content, and its type.
const noteHeader = 12

// buildIDOf returns the build ID that `go tool buildid` prints for an ELF file, empty if it has none.
func buildIDOf(file string) string {
	f, err := elf.Open(file)
	if err != nil {
		return ""
	}
	defer f.Close()
	section := f.Section(".note.go.buildid")
	if section == nil {
		return ""
	}
	note, err := section.Data()
	if err != nil || len(note) < noteHeader {
		return ""
	}
	size := int(f.ByteOrder.Uint32(note[4:]))
	_, id, found := bytes.Cut(note[noteHeader:], []byte("Go\x00\x00"))
	if !found || size > len(id) {
		return ""
	}
	return string(id[:size])
}
