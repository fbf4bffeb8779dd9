package instance_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/sirupsen/logrus"

	"github.com/cobalttide/cobalttide/instance"
	"github.com/cobalttide/cobalttide/instance/auth"
	"github.com/cobalttide/cobalttide/instance/settings"
	"github.com/cobalttide/cobalttide/standin"
)

// This example embeds an instance in a program, with a stand-in platform.
func Example() {
	platform, err := standin.Start(standin.Fleet{}, "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer platform.Stop()
	secret := filepath.Join(os.TempDir(), "cobalttide-example-secret")
	if err := os.WriteFile(secret, []byte("shared-by-all-instances"), 0o600); err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.Remove(secret) }()

	s := settings.Default()
	s.Instance, s.DataCentre = "one", "north"
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	s.Platform = settings.Platform{Log: platform.Address, List: platform.Address}
	s.PeerSecretFile = secret
	s.BootstrapOperatorTokenHash = auth.Hash("operator")
	s.Limits.DrainGrace = 0

	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	in, err := instance.New(s, instance.Options{Log: quiet})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- in.Run(ctx) }()
	version, refusal := in.Apply(ctx, `{"accounts": {}, "classes": {}, "operator_token_hashes": ["`+auth.Hash("operator")+`"]}`, 0, "first", "me")
	fmt.Println(version, refusal)
	stop()
	fmt.Println(<-done)
	// Output:
	// 1 <nil>
	// <nil>
}
