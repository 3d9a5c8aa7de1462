package tryout_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/operator/tryout"
)

// The first command of the README runs the scenarios of both users without a failure.
func TestDemo(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	g.Expect(tryout.Run(&out)).To(Succeed(), out.String())
	g.Expect(out.String()).To(ContainSubstring("ran it 1 time(s)"))
	g.Expect(out.String()).To(ContainSubstring("accepted as revision 2"))
}
