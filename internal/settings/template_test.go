package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// placeholderValues are values for the placeholders of the deployment's templates.
var placeholderValues = map[string]string{
	"nodeName": "entry-1", "zone": "zone-a", "ip": "127.0.0.1", "internalPorts.0": "7200",
	"listenAddrs.front": "127.0.0.1:8080", "listenAddrs.ready": "127.0.0.1:8081", "listenAddrs.control": "127.0.0.1:9201",
	"app": "127.0.0.1:8090", "platform.address": "127.0.0.1:8169", "seedNodes": "127.0.0.1:1", "limits.memoryMb": "284",
}

var (
	templateSection = regexp.MustCompile(`\{\{[#/][^}]*\}\}\n?`)
	placeholder     = regexp.MustCompile(`\{\{([^}]*)\}\}`)
)

// TestDeploymentTemplates guards against templates whose settings no process accepts, such as
// one with a section twice after a merge.
func TestDeploymentTemplates(t *testing.T) {
	for name, load := range map[string]func(string) error{
		"dispatcher.ini": func(path string) error { _, err := LoadDispatcher(path); return err },
		"lessee.ini":     func(path string) error { _, err := LoadLessee(path); return err },
	} {
		raw, err := os.ReadFile(filepath.Join("..", "..", "deploy", name))
		if err != nil {
			t.Fatal(err)
		}
		text := placeholder.ReplaceAllStringFunc(templateSection.ReplaceAllString(string(raw), ""), func(p string) string {
			value, ok := placeholderValues[placeholder.FindStringSubmatch(p)[1]]
			if !ok {
				t.Errorf("%s: no test value for the placeholder %s", name, p)
			}
			return value
		})
		if err := load(file(t, text)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
