package cli_test

import (
	"bytes"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/operator/standin/cli"
)

// lines is a buffer that two goroutines may use.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

func TestCommandsServeUntilSIGTERM(t *testing.T) {
	g := NewWithT(t)
	out := &lines{}
	common := cli.Common{Name: "u1", Domain: "hall", Listen: "127.0.0.1:0", Grace: 10 * time.Second}
	commands := []flags.Commander{&cli.Engine{Common: common, Out: out}, &cli.Service{Common: common, Out: out}}
	done := make(chan error, len(commands))
	for _, c := range commands {
		go func() { done <- c.Execute(nil) }()
	}
	g.Eventually(func() int { return strings.Count(out.String(), "\n") }, 10*time.Second).Should(Equal(2))
	g.Expect(syscall.Kill(syscall.Getpid(), syscall.SIGTERM)).To(Succeed())
	for range commands {
		var err error
		g.Eventually(done, 10*time.Second).Should(Receive(&err))
		g.Expect(err).NotTo(HaveOccurred())
	}
	for _, line := range strings.Fields(out.String()) {
		if a, ok := strings.CutPrefix(line, "address="); ok {
			_, err := net.Dial("tcp", a)
			g.Expect(err).To(HaveOccurred())
		}
	}
}

func TestOptionsAreNamedOnce(t *testing.T) {
	g := NewWithT(t)
	p := flags.NewParser(nil, flags.None)
	g.Expect(cli.AddCommands(p)).To(Succeed())
	_, err := p.ParseArgs([]string{"standin", "engine"})
	g.Expect(err).To(MatchError(ContainSubstring("--name")))
}
