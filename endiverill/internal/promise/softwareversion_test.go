package promise

import (
	"cmp"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/endiverill/internal/client"
	"endiverill.example/endiverill/internal/deployment"
	"endiverill.example/standin/engine"
)

const (
	versionedStreams = 60 // at a time; over 12 of them are broken off
	versionedTokens  = 30 // of a stream
	brokenOffAfter   = 7  // tokens
)

// engineVersions makes all four engines hold the model aster and state the given software
// versions, none where one is empty.
func engineVersions(versions ...string) func(spec *deployment.Spec) {
	return func(spec *deployment.Spec) {
		fastTokens(spec)
		spec.Models, spec.Adapters = spec.Models[:1], nil
		delete(spec.Customers, "archivists")
		delete(spec.Keys, "archivists")
		spec.SoftwareVersions = map[string]string{}
		for index, version := range versions {
			spec.Engines[index].Models, spec.Engines[index].Adapters = []string{"aster"}, nil
			spec.SoftwareVersions[spec.Engines[index].Name] = version
		}
		spec.Entry = map[string]any{"entry.retry_percent": 100, "entry.retry_allowance": 1000}
		spec.Agent = map[string]any{}
		spec.Profile.Slots = 64
	}
}

// versionsOf returns the software versions whose tokens a stream holds, in order.
func versionsOf(response *client.Response) (versions []string) {
	for _, token := range strings.Fields(response.Text()) {
		version, _, stated := strings.Cut(token, ":")
		if !stated {
			version = ""
		}
		if len(versions) == 0 || versions[len(versions)-1] != version {
			versions = append(versions, version)
		}
	}
	return versions
}

// streamResults says how streams went whose first target breaks them off.
type streamResults struct {
	broken  []*client.Response // those that began at such a target
	mixed   int                // hold tokens of two software versions
	wentOn  int                // are complete
	refused int                // end with an error event that names the version that began them
}

// breakStreamsOff lets the named engines break off streams, sends streams to both entries and
// requires that streams of other engines are complete.
func breakStreamsOff(t *testing.T, running *deployment.Deployment, key string, engines ...string) streamResults {
	t.Helper()
	for _, name := range engines {
		running.Engine(name).SetFaults(engine.Faults{CutAfter: brokenOffAfter})
	}
	responses := make([]*client.Response, versionedStreams)
	runConcurrently(versionedStreams, func(index int) {
		caller := client.New(running.Entries()[index%2].Address(), key)
		defer caller.Close()
		response, err := caller.Stream("aster", indexedName("version", index), versionedTokens)
		assert.Check(t, err)
		responses[index] = response
	})
	var results streamResults
	for _, response := range responses {
		assert.Equal(t, response.Status(), 200, "%s", response.Body())
		versions := versionsOf(response)
		if len(versions) > 1 {
			results.mixed++
		}
		if !slices.Contains(engines, response.Target()) {
			assert.Check(t, response.Complete() && response.Tokens() == versionedTokens, "%s %s", response.Target(), response.StreamError())
			continue
		}
		results.broken = append(results.broken, response)
		switch {
		case response.Complete() && response.Tokens() == versionedTokens:
			results.wentOn++
		case response.Tokens() == brokenOffAfter && isRefusal(response.StreamError(), versions[0]):
			results.refused++
		}
	}
	t.Logf("%d of %d streams were broken off: %d went on, %d were refused for their version, %d hold tokens of two versions", len(results.broken), versionedStreams, results.wentOn, results.refused, results.mixed)
	assert.Assert(t, len(results.broken) >= 12, "%d streams were broken off, too few", len(results.broken))
	return results
}

// isRefusal reports whether an error event says that the stream was cut and which software
// version began it.
func isRefusal(event, version string) bool {
	return strings.Contains(event, "stream-cut") && strings.Contains(event, cmp.Or(version, "unknown"))
}

// metricSum returns the sum of a metric over all entries.
func metricSum(running *deployment.Deployment, name string) (sum int) {
	for _, entry := range running.Entries() {
		sum += int(entry.Metrics().Get(name))
	}
	return sum
}

func TestPromiseStreamHoldsTokensOfOneSoftwareVersion(t *testing.T) {
	t.Run("goes on while another engine of its version serves", func(t *testing.T) {
		running, spec := startDeployment(t, engineVersions("7.1", "7.1", "7.2", "7.2"))
		results := breakStreamsOff(t, running, spec.Keys["editors"], "engine-1", "engine-3")
		assert.Check(t, results.mixed == 0, "%d streams are mixed", results.mixed)
		assert.Check(t, results.wentOn == len(results.broken))
		assert.Check(t, metricSum(running, "streams.resumed") >= len(results.broken))
	})
	t.Run("ends at once without another engine of its version", func(t *testing.T) {
		running, spec := startDeployment(t, engineVersions("7.1", "7.2", "7.2", ""))
		results := breakStreamsOff(t, running, spec.Keys["editors"], "engine-1", "engine-4")
		assert.Check(t, results.mixed == 0, "%d streams are mixed", results.mixed)
		assert.Check(t, results.refused == len(results.broken))
		assert.Check(t, metricSum(running, "attempts") == versionedStreams, "%d attempts", metricSum(running, "attempts"))
		assert.Check(t, metricSum(running, "streams.refused.version") == len(results.broken))
	})
	t.Run("agents have not noticed that an engine changed its version", func(t *testing.T) {
		running, spec := startDeployment(t, func(spec *deployment.Spec) {
			engineVersions("7.1", "7.1", "7.1", "7.2")(spec)
			spec.Agent["agent.state_interval"] = time.Minute
		})
		running.Engine("engine-2").SetSoftwareVersion("7.2")
		results := breakStreamsOff(t, running, spec.Keys["editors"], "engine-1", "engine-2")
		assert.Check(t, results.mixed == 0, "%d streams are mixed", results.mixed)
		assert.Check(t, results.wentOn == len(results.broken))
	})
	t.Run("goes on as before without versions", func(t *testing.T) {
		running, spec := startDeployment(t, engineVersions("", "", "", ""))
		results := breakStreamsOff(t, running, spec.Keys["editors"], "engine-1", "engine-3")
		assert.Check(t, results.wentOn == len(results.broken))
		assert.Check(t, metricSum(running, "streams.refused.version") == 0)
	})
}
