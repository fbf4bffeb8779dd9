package client

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cobalttide/cobalttide/domain"
	"github.com/cobalttide/cobalttide/port"
)

// Guards against missing fields that are taken for zero values: a log that ends at 0, an append at offset 0, lists without workers, a restarted worker.
func TestResponseWithMissingFieldsIsAnError(t *testing.T) {
	ctx := context.Background()
	calls := map[string]func(*Client) error{
		"append": func(c *Client) error { _, err := c.Append(ctx, "s", nil); return err },
		"read":   func(c *Client) error { _, err := c.Read(ctx, "s", 0); return err },
		"list":   func(c *Client) error { _, err := c.List(ctx, port.ListQuery{}); return err },
		"do": func(c *Client) error {
			_, err := c.Do(ctx, domain.Worker{Address: c.ListAddress}, port.Command{})
			return err
		},
	}
	whole := map[string]string{
		"append": `{"offset":0}`,
		"read":   `{"entries":null,"oldest":0,"next":0,"end":0}`,
		"list":   `{"versions":{"instances":"1","workers":"2","backends":"3"}}`,
		"do":     `{"boot":"b","clock":"1s","members":null}`,
	}
	for name, call := range calls {
		for _, body := range []string{whole[name], `{}`, `null`, `{"entries":[],"versions":{"workers":"2"},"oldest":0,"members":[]}`} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
			address := strings.TrimPrefix(server.URL, "http://")
			if err := call(New(address, address, "dc")); (err == nil) != (body == whole[name]) {
				t.Errorf("%s answered %s: %v", name, body, err)
			}
			server.Close()
		}
	}
}
