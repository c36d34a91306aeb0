-- Functions of the Lua scenarios: they start processes, inject faults, submit jobs
-- and record a timeline. The evidence is what the upstreams wrote to their journals
-- and what callers received. check_invariants(), which ends every scenario, compares
-- both with the guarantees given to callers.
--
-- The runner sets SCRIPT, BUILD, WORK, BASE_PORT and SEED. Ports are laid out as in
-- scenarios/lib.sh.
local SIGKILL, SIGTERM, SIGSTOP, SIGCONT = 9, 15, 19, 18
local KEY = "scenario key, not secret"
local TOKEN = "scenario-operator"
local TOKEN_HASH
-- Delay of a caller before it submits a job again.
local RESUBMIT_US = 700000
local base = tonumber(BASE_PORT)
local seed = tonumber(SEED)
local timeline, jobs, pids, running = {}, {}, {}, {}
local file_count = 0
math.randomseed(seed)

local function log_event(format, ...)
  timeline[#timeline + 1] = string.format("%8.3f  " .. format,
    sys.now_us() / 1e6, ...)
end

function print_timeline()
  print("seed " .. seed)
  for _, line in ipairs(timeline) do print(line) end
end

local function read_file(file)
  local f = io.open(file)
  local text = f and f:read("a") or ""
  if f then f:close() end
  return text
end

local function write_file(file, text)
  local f = assert(io.open(file, "w"))
  f:write(text)
  f:close()
end

local function new_file_name(name)
  file_count = file_count + 1
  return WORK .. "/" .. name .. "-" .. file_count
end

function wait(ms) sys.sleep_ms(ms) end

-- Waits until condition() is true. The time limit is generous, since it only has to end
-- a scenario that hangs.
function wait_until(description, condition, seconds)
  local deadline = sys.now_us() + (seconds or 60) * 1000000
  while not condition() do
    if sys.now_us() > deadline then error("timed out waiting for " .. description, 0) end
    wait(50)
  end
end

-- Runs a command to its end; returns its exit code and its output.
local function run_command(...)
  local out = new_file_name("run")
  local pid = sys.spawn(out, ...)
  local code
  wait_until("the command " .. (...), function() code = sys.poll(pid); return code end, 90)
  return code, read_file(out)
end

local function addr(offset) return "127.0.0.1:" .. base + offset end
-- Sets the faults that a stand-in injects.
local function post_faults(where, body) run_command("curl", "-s", "-m", "5", "-d", body, where .. "/faults") end
-- Runs the command line client as an operator.
local function run_cli(entry, ...)
  return run_command(BUILD .. "/cli/jacinthpick", "--entry", addr(100 + entry), "--token", TOKEN, "--json", ...)
end

-- Processes ----------------------------------------------------------------

local function start_process(name, ...)
  local pid = sys.spawn(WORK .. "/" .. name .. ".log", ...)
  pids[name] = pid
  running[name] = true
  log_event("start %s", name)
end

local function process_number(name) return tonumber(name:match("%d+$")) end

local function start_daemon(name)
  local role, n = name:match("^%a+"), process_number(name)
  local http = role == "entry" and 100 or 300
  local internal = http + 100 + n
  local public = internal + (pids["relay-" .. name] and 400 or 0)
  local file = WORK .. "/" .. name .. ".json"
  write_file(file, string.format([[{"role": "%s", "node": "%s", "region": "great-lakes",
 "data_centre": "dc-%d", "listen_http": "%s", "listen_internal": "%s", "public_internal": "%s",
 "table_service": "%s", "cluster_key": "%s", "operator_token_hashes": "erika:%s"}]],
    role, name, (n - 1) % 3 + 1, addr(http + n), addr(internal), addr(public), addr(0), KEY, TOKEN_HASH))
  start_process(name, BUILD .. "/daemon/jacinthpickd", file)
end

local function start_relay(name)
  local role, n = name:match("^%a+"), process_number(name)
  local internal = (role == "entry" and 200 or 400) + n
  start_process("relay-" .. name, BUILD .. "/standins/standin-relay", "--listen", addr(internal + 400),
    "--to", addr(internal), "--control", addr(internal + 410))
end

local function start_upstream(n)
  start_process("upstream-" .. n, BUILD .. "/standins/standin-upstream", "--listen", addr(500 + n), "--agent",
    addr(300 + n), "--journal", WORK .. "/journal-" .. n .. "-" .. file_count)
  file_count = file_count + 1
end

local function is_serving(n)
  return run_command("curl", "-sf", "-m", "2", "-o", "/dev/null", addr(100 + n) .. "/v1/health") == 0
end

-- start{entries=, agents=, relays={names}} starts a cluster and waits until a job
-- completes through each entry. start(name) starts one process again.
function start(target)
  if type(target) == "string" then
    if target:match("^upstream") then start_upstream(process_number(target)) else start_daemon(target) end
    return
  end
  local code, text = run_command(BUILD .. "/cli/jacinthpick", "token")
  TOKEN, TOKEN_HASH = text:match("token:%s*(%S+)"), text:match("hash:%s*(%S+)")
  start_process("store", BUILD .. "/standins/standin-tablestore", "--listen", addr(0))
  wait_until("the table service", function() return run_command("curl", "-s", "-m", "2", addr(0) .. "/stats") == 0 end)
  for _, name in ipairs(target.relays or {}) do start_relay(name) end
  for n = 1, target.agents do start_daemon("agent-" .. n); start_upstream(n) end
  for n = 1, target.entries do start_daemon("entry-" .. n) end
  for n = 1, target.entries do wait_until("entry " .. n .. " to serve", function() return is_serving(n) end) end
  wait_until("a first job through each entry", function()
    for n = 1, target.entries do
      if not submit{entry = n, tasks = target.agents, probe = true} then return false end
    end
    return true
  end)
  cluster = target
end

local function send_signal(name, action, signal)
  log_event("%s %s", action, name)
  sys.signal(pids[name], signal)
end

function kill(name) send_signal(name, "kill", SIGKILL); running[name] = nil end
function pause(name) send_signal(name, "pause", SIGSTOP) end
function resume(name) send_signal(name, "resume", SIGCONT) end
function stop(name) send_signal(name, "stop", SIGTERM); running[name] = nil end

function has_stopped(name) return sys.poll(pids[name]) end

-- Faults of the network, the table service and upstreams -----------------------

local function relay_control(name)
  local role, n = name:match("^%a+"), process_number(name)
  return addr((role == "entry" and 200 or 400) + n + 410)
end

function silence(name) log_event("silence %s", name); post_faults(relay_control(name), '{"silence":true}') end
function cut(name, on) log_event("cut %s %s", name, on); post_faults(relay_control(name), '{"cut":' .. tostring(on) .. "}") end
function set_store_faults(faults) log_event("store %s", faults); post_faults(addr(0), faults) end
function set_upstream_faults(n, faults) log_event("upstream-%d %s", n, faults); post_faults(addr(500 + n), faults) end

-- Operators -------------------------------------------------------------------

-- Takes a data centre "out" or "in"; returns the state of the change and the time
-- of the answer.
function set_data_centre(direction, name, entry)
  local code, text
  if direction == "out" then
    code, text = run_cli(entry or 1, "data-centre", "out", name, "--reason", "scenario")
  else
    code, text = run_cli(entry or 1, "data-centre", "in", name)
  end
  log_event("data centre %s %s: %s", name, direction, text:match('"state":%s*"(%w+)"') or text)
  return text:match('"state":%s*"(%w+)"'), sys.now_us()
end

-- Callers ---------------------------------------------------------------------

-- Starts a call of the command line client; collect_answers() reads its answer.
local function start_call(job, entry, command)
  local out = new_file_name("answer")
  job.calls[#job.calls + 1] = {out = out, entry = entry,
    pid = sys.spawn(out, BUILD .. "/cli/jacinthpick", "--entry", addr(100 + entry), "--", command, job.key, job.file)}
end

local function request_key(entry)
  local code, text = run_command(BUILD .. "/cli/jacinthpick", "--entry", addr(100 + entry), "keys")
  return code == 0 and text:match("%S+") or nil
end

-- submit{entry=, tasks=, ms=, deadline=, service=, memory_mb=, probe=}: returns a
-- job, or nil if the entry issues no key. A probe waits for the answer and returns
-- whether the job is complete; the invariants are not checked for it.
function submit(options)
  local key = request_key(options.entry)
  if not key then return nil end
  local job = {key = key, tasks = options.tasks or 10, calls = {}, command = "submit"}
  local tasks = {}
  for n = 1, job.tasks do
    tasks[n] = string.format('{"no":%d,"input":"{\\"ms\\":%d,\\"n\\":%d,\\"of\\":\\"%s\\"}"}', n, options.ms or 50, n, key)
  end
  job.file = new_file_name("job")
  write_file(job.file, string.format('{"service":"%s","kind":"buff-plan","deadline_ms":%d,"memory_mb":%d,"tasks":[%s]}',
    options.service or "finishing", options.deadline or 20000, options.memory_mb or 0, table.concat(tasks, ",")))
  start_call(job, options.entry, "submit")
  if options.probe then
    wait_for_answers{job}
    return job.state == "complete"
  end
  log_event("submit %s, %d tasks, entry %d", key:sub(-6), job.tasks, options.entry)
  jobs[#jobs + 1] = job
  return job
end

-- request{entry=, idempotent=, ms=, deadline=}: as submit, for a single request.
function request(options)
  local key = request_key(options.entry)
  if not key then return nil end
  local job = {key = key, tasks = 1, calls = {}, command = "request", idempotent = options.idempotent}
  job.file = new_file_name("job")
  write_file(job.file, string.format('{"service":"finishing","deadline_ms":%d,"idempotent":%s,'
    .. '"input":"{\\"ms\\":%d,\\"of\\":\\"%s\\"}"}', options.deadline or 20000, tostring(options.idempotent), options.ms or 50, key))
  log_event("request %s, entry %d", key:sub(-6), options.entry)
  start_call(job, options.entry, "request")
  jobs[#jobs + 1] = job
  return job
end

function resubmit(job, entry)
  log_event("resubmit %s, entry %d", job.key:sub(-6), entry)
  start_call(job, entry, job.command)
end

function cancel(job, entry)
  log_event("cancel %s, entry %d", job.key:sub(-6), entry)
  run_cli(entry, "--", "cancel", job.key) -- a key may begin with "-"
end

-- Collects the answers that have arrived. A final answer sets the state of the job.
local function collect_answers(job)
  for _, c in ipairs(job.calls) do
    if not c.code then
      c.code = sys.poll(c.pid)
      if c.code then
        c.text = read_file(c.out)
        c.state = c.text:match('"state":%s*"(%w+)"') or "none"
        c.name = c.text:match('"name":%s*"([%w_]+)"') or "NONE"
        c.run = c.text:match('"run":%s*"([%w ]+)"') or "unknown"
        log_event("answer %s, entry %d: %s %s", job.key:sub(-6), c.entry, c.state, c.name)
        local retry = c.name == "OWNER_AWAY" or c.name == "TRY_AGAIN" or c.state == "none" or c.state == "pending"
        if not retry and not job.state then job.state, job.name = c.state, c.name end
      end
    end
  end
end

local function has_pending_call(job)
  for _, c in ipairs(job.calls) do
    if not c.code then return true end
  end
end

-- Waits until each job has a final answer. A job without one is submitted again
-- through a random running entry, as a caller does whose connection broke.
function wait_for_answers(list)
  list = list or jobs
  wait_until("final answers", function()
    local all_answered = true
    for _, job in ipairs(list) do
      collect_answers(job)
      if not job.state and not has_pending_call(job) then
        local n = math.random(cluster and cluster.entries or 1)
        if not cluster then return true end
        if running["entry-" .. n] and (job.retry_at or 0) <= sys.now_us() then
          job.retry_at = sys.now_us() + RESUBMIT_US
          resubmit(job, n)
        end
      end
      all_answered = all_answered and (job.state or not cluster) and not has_pending_call(job)
    end
    return all_answered
  end, 120)
end

-- Evidence and invariants -------------------------------------------------------

-- Reads all task starts from the journals; "at" is in microseconds.
function read_starts()
  local all = {}
  local journals = io.popen("cat " .. WORK .. "/journal-* 2>/dev/null")
  for line in journals:lines() do
    local key, task, at = line:match("^start (%S+) (%d+) %d+ (%d+)")
    if key then all[#all + 1] = {key = key, task = tonumber(task), at = tonumber(at)} end
  end
  journals:close()
  return all
end

-- Counts the starts on an upstream after a time in microseconds.
function count_starts_after(n, at)
  local count = 0
  local journals = io.popen("cat " .. WORK .. "/journal-" .. n .. "-* 2>/dev/null")
  for line in journals:lines() do
    local time = line:match("^start %S+ %d+ %d+ (%d+)")
    if time and tonumber(time) > at then count = count + 1 end
  end
  journals:close()
  return count
end

function expect(condition, description)
  log_event("expect %s: %s", description, condition and "holds" or "DOES NOT HOLD")
  if not condition then error("expectation failed: " .. description, 0) end
end

local function check_answer(job, c)
  local _, outputs = c.text:gsub('"no":', "")
  local _, own_outputs = c.text:gsub('of\\":\\"' .. job.key:gsub("%-", "%%-"), "")
  if c.state == "complete" then
    expect(outputs == job.tasks, "a complete answer contains all tasks")
    expect(own_outputs == job.tasks, "a complete answer contains only outputs of its own job")
    expect(job.started_tasks == job.tasks, "every task of a complete job was started")
  else
    expect(outputs == 0, "an incomplete answer contains no outputs")
  end
  if c.run == "not run" then expect(job.started_tasks == 0, "\"not run\" is true (" .. c.name .. ")") end
end

-- Checks the guarantees for all jobs so far; returns the number of complete jobs.
function check_invariants()
  local start_counts = {}
  for _, s in ipairs(read_starts()) do
    local name = s.key .. " " .. s.task
    start_counts[name] = (start_counts[name] or 0) + 1
  end
  local count = 0
  for _, job in ipairs(jobs) do
    job.started_tasks = 0
    for n = 1, job.tasks do
      local times = start_counts[job.key .. " " .. n] or 0
      job.started_tasks = job.started_tasks + (times > 0 and 1 or 0)
      expect(times <= 1 or job.idempotent, "task " .. n .. " of " .. job.key:sub(-6) .. " started at most once")
    end
    for _, c in ipairs(job.calls) do
      if c.code then check_answer(job, c) end
    end
    count = count + (job.state == "complete" and 1 or 0)
  end
  print(string.format("%d jobs, %d complete, %d starts", #jobs, count, #read_starts()))
  return count
end

-- Faults by name, for single scenarios and for pairs. Each function injects a fault
-- and returns a function that removes it, or nothing. scenarios/run reads the names
-- from the lines of this table.
faults = {
  kill_entry = function() kill("entry-1") end,
  restart_entry = function() kill("entry-2"); wait(300); start("entry-2") end,
  kill_agent = function() kill("agent-1"); return function() start("agent-1") end end,
  kill_upstream = function() kill("upstream-2"); return function() start("upstream-2") end end,
  pause_entry = function() pause("entry-1"); return function() resume("entry-1") end end,
  pause_agent = function() pause("agent-2"); return function() resume("agent-2") end end,
  silence_entry = function() silence("entry-1") end,
  silence_agent = function() silence("agent-1") end,
  cut_agent = function() cut("agent-1", true); return function() cut("agent-1", false) end end,
  store_down = function() set_store_faults('{"down":true}'); return function() set_store_faults('{"down":false}') end end,
  store_slow = function() set_store_faults('{"delay_ms":1500}'); return function() set_store_faults('{"delay_ms":0}') end end,
  store_loses = function() set_store_faults('{"lose_answers":3}') end,
  upstream_fails = function() set_upstream_faults(1, '{"fail":true}') return function() set_upstream_faults(1, '{"fail":false}') end end,
  upstream_slow = function() set_upstream_faults(3, '{"slow":20.0}') return function() set_upstream_faults(3, '{"slow":1.0}') end end,
  data_centre_out = function() set_data_centre("out", "dc-3", 3); return function() set_data_centre("in", "dc-3", 3) end end,
}

-- Injects and removes the named faults while callers submit jobs to a cluster, and
-- checks that all of them are answered.
function run_with_faults(...)
  local remove_fault = {}
  start{entries = 3, agents = 3, relays = {"entry-1", "agent-1"}}
  local function submit_jobs(count)
    for i = 1, count do
      local n = math.random(3)
      if running["entry-" .. n] then submit{entry = n, tasks = 5 + math.random(10), ms = math.random(150)} end
      wait(math.random(60))
    end
  end
  submit_jobs(6)
  for _, name in ipairs{...} do
    remove_fault[#remove_fault + 1] = faults[name]()
    submit_jobs(3)
  end
  wait(2000 + math.random(2000))
  for _, job in ipairs(jobs) do
    if math.random(3) == 1 then resubmit(job, 3) end
  end
  for _, remove in ipairs(remove_fault) do remove() end
  submit_jobs(3)
  wait_for_answers()
  return check_invariants()
end
