-- Jobs that can never run are refused at once, truly not run.
start{entries = 1, agents = 1}
local unknown = submit{entry = 1, service = "no-such-service"}
local large = submit{entry = 1, memory_mb = 16000000}
settle()
expect(unknown.name == "UNKNOWN_SERVICE", "an unknown service is refused")
expect(large.name == "CANNOT_RUN", "a job too large for any worker is refused")
check()
