MODULES := kernel entry agent standin endiverill platform
TOOLS := $(CURDIR)/.tools
PROGRAMS := entry agent endiverill standin

.PHONY: build demo test lint soak measure format

build:
	@mkdir -p bin
	@for module in $(PROGRAMS); do go build -o bin/$$module ./$$module || exit 1; done

demo:
	go run ./endiverill demo

# Lines of the form "- red MODULE TEST: ..." in KNOWN-RED.txt name tests that are not run.
test:
	@for module in $(MODULES); do \
		red=$$(sed -n "s/^- red $$module \([A-Za-z0-9_]*\):.*/\1/p" KNOWN-RED.txt | paste -sd'|' -); \
		test -z "$$red" || echo "known to fail, not run: $$module $$red"; \
		(cd $$module && go test $${red:+-skip "^($$red)$$"} ./...) || exit 1; \
	done

soak:
	cd kernel && ENDIVERILL_CHECKS=20000 go test -count=1 -timeout 10m -v -run 'TestPromise' ./...

measure:
	go run ./endiverill measure --write docs/measurements

format: $(TOOLS)/gofumpt
	$(TOOLS)/gofumpt -w $(MODULES)

lint: $(TOOLS)/gofumpt $(TOOLS)/revive $(TOOLS)/staticcheck
	@unformatted=$$($(TOOLS)/gofumpt -l $(MODULES)); test -z "$$unformatted" || { echo "not formatted: $$unformatted"; exit 1; }
	@for module in $(MODULES); do (cd $$module && go vet ./... && $(TOOLS)/revive -config ../.revive.toml -set_exit_status ./... && $(TOOLS)/staticcheck ./...) || exit 1; done
	@go run ./kernel/cmd/receivers $(MODULES)

$(TOOLS)/gofumpt:
	GOBIN=$(TOOLS) go install mvdan.cc/gofumpt@v0.12.0

$(TOOLS)/revive:
	GOBIN=$(TOOLS) go install github.com/mgechev/revive@v1.17.0

$(TOOLS)/staticcheck:
	GOBIN=$(TOOLS) go install honnef.co/go/tools/cmd/staticcheck@v0.8.2
