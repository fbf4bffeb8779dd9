.PHONY: test crowd generate capacity bench demo

# The README's test command.
test:
	go test -race ./...

# The tests with crowds of clients against processes of their own. They bound memory, so each
# runs alone and without the race detector.
crowd:
	go test -tags crowd -count 1 -p 1 -parallel 1 -v ./platform/crowd

# Generates the operators' RPC code from its schema.
generate:
	tools/generate.sh

# Measures the slopes of docs/CAPACITY.md again: real daemons, then functions.
capacity:
	bench/control.sh
	go test ./bench -run XXX -bench 'BenchmarkPlan|BenchmarkRecovery|BenchmarkMemory|BenchmarkConfig' -benchtime 20x

# The policy and routing benchmarks of docs/MEASUREMENTS.md.
bench:
	go test ./bench -run XXX -bench . -benchtime 1x -timeout 60m

demo:
	go run ./cmd/cobaltctl demo -deployment midlands
