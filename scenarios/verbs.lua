-- The verbs of the scenarios. Witnesses are the upstreams' journals and the
-- callers' answers; every scenario ends with check(), which holds them
-- against what was promised.
local SIGKILL, SIGTERM, SIGSTOP, SIGCONT = 9, 15, 19, 18
local KEY = "scenario key, not secret"
local TOKEN = "scenario-operator"
local TOKEN_HASH
-- A caller waits this long before it submits again.
local RESUBMIT_US = 700000
local base = tonumber(BASE_PORT)
local seed = tonumber(SEED)
local timeline, jobs, nodes, running = {}, {}, {}, {}
local files = 0
math.randomseed(seed)

local function note(format, ...)
  timeline[#timeline + 1] = string.format("%8.3f  " .. format,
    sys.now_us() / 1e6, ...)
end

function print_timeline()
  print("seed " .. seed)
  for _, line in ipairs(timeline) do print(line) end
end

local function read(file)
  local f = io.open(file)
  local text = f and f:read("a") or ""
  if f then f:close() end
  return text
end

local function write(file, text)
  local f = assert(io.open(file, "w"))
  f:write(text)
  f:close()
end

local function new_file(name)
  files = files + 1
  return WORK .. "/" .. name .. "-" .. files
end

function wait(ms) sys.sleep_ms(ms) end

-- Until f() is true; fails after a bound that only ends a hang.
function wait_until(what, f, seconds)
  local stop = sys.now_us() + (seconds or 60) * 1000000
  while not f() do
    if sys.now_us() > stop then error("waited in vain: " .. what, 0) end
    wait(50)
  end
end

local function run(...)
  local out = new_file("run")
  local pid = sys.spawn(out, ...)
  local code
  wait_until("a command", function() code = sys.poll(pid); return code end, 90)
  return code, read(out)
end

local function addr(offset) return "127.0.0.1:" .. base + offset end
local function post(where, body) run("curl", "-s", "-m", "5", "-d", body, where .. "/faults") end
local function cli(entry, ...)
  return run(BUILD .. "/cli/jacinthpick", "--entry", addr(100 + entry), "--token", TOKEN, "--json", ...)
end

-- Processes ----------------------------------------------------------------

local function launch(name, ...)
  local pid = sys.spawn(WORK .. "/" .. name .. ".log", ...)
  nodes[name] = pid
  running[name] = true
  note("start %s", name)
end

local function number(name) return tonumber(name:match("%d+$")) end

local function daemon(name)
  local role, n = name:match("^%a+"), number(name)
  local http = role == "entry" and 100 or 300
  local internal = http + 100 + n
  local public = internal + (nodes["relay-" .. name] and 400 or 0)
  local file = WORK .. "/" .. name .. ".json"
  write(file, string.format([[{"role": "%s", "node": "%s", "region": "great-lakes",
 "data_centre": "dc-%d", "listen_http": "%s", "listen_internal": "%s", "public_internal": "%s",
 "table_service": "%s", "cluster_key": "%s", "operator_token_hashes": "erika:%s"}]],
    role, name, (n - 1) % 3 + 1, addr(http + n), addr(internal), addr(public), addr(0), KEY, TOKEN_HASH))
  launch(name, BUILD .. "/daemon/jacinthpickd", file)
end

local function relay(name)
  local role, n = name:match("^%a+"), number(name)
  local internal = (role == "entry" and 200 or 400) + n
  launch("relay-" .. name, BUILD .. "/standins/standin-relay", "--listen", addr(internal + 400),
    "--to", addr(internal), "--control", addr(internal + 410))
end

local function upstream(n)
  launch("upstream-" .. n, BUILD .. "/standins/standin-upstream", "--listen", addr(500 + n), "--agent",
    addr(300 + n), "--journal", WORK .. "/journal-" .. n .. "-" .. files)
  files = files + 1
end

local function is_serving(n)
  return run("curl", "-sf", "-m", "2", "-o", "/dev/null", addr(100 + n) .. "/v1/health") == 0
end

-- start{entries=, agents=, relays={names}} or start(name)
function start(what)
  if type(what) == "string" then
    if what:match("^upstream") then upstream(number(what)) else daemon(what) end
    return
  end
  local code, text = run(BUILD .. "/cli/jacinthpick", "token")
  TOKEN, TOKEN_HASH = text:match("token:%s*(%S+)"), text:match("hash:%s*(%S+)")
  launch("store", BUILD .. "/standins/standin-tablestore", "--listen", addr(0))
  wait_until("the store", function() return run("curl", "-s", "-m", "2", addr(0) .. "/stats") == 0 end)
  for _, name in ipairs(what.relays or {}) do relay(name) end
  for n = 1, what.agents do daemon("agent-" .. n); upstream(n) end
  for n = 1, what.entries do daemon("entry-" .. n) end
  for n = 1, what.entries do wait_until("entry " .. n, function() return is_serving(n) end) end
  wait_until("a first job", function()
    for n = 1, what.entries do
      if not submit{entry = n, tasks = what.agents, probe = true} then return false end
    end
    return true
  end)
  fleet = what
end

local function send(name, what, signal)
  note("%s %s", what, name)
  sys.signal(nodes[name], signal)
end

function kill(name) send(name, "kill", SIGKILL); running[name] = nil end
function pause(name) send(name, "pause", SIGSTOP) end
function resume(name) send(name, "resume", SIGCONT) end
function stop(name) send(name, "stop", SIGTERM); running[name] = nil end

function has_stopped(name) return sys.poll(nodes[name]) end

-- Faults of the platform and the network ------------------------------------

local function relay_control(name)
  local role, n = name:match("^%a+"), number(name)
  return addr((role == "entry" and 200 or 400) + n + 410)
end

function silence(name) note("silence %s", name); post(relay_control(name), '{"silence":true}') end
function cut(name, on) note("cut %s %s", name, on); post(relay_control(name), '{"cut":' .. tostring(on) .. "}") end
function store(faults) note("store %s", faults); post(addr(0), faults) end
function upstream_faults(n, faults) note("upstream-%d %s", n, faults); post(addr(500 + n), faults) end

-- Operators -------------------------------------------------------------------

function datacentre(way, name, entry)
  local code, text
  if way == "out" then
    code, text = cli(entry or 1, "data-centre", "out", name, "--reason", "scenario")
  else
    code, text = cli(entry or 1, "data-centre", "in", name)
  end
  note("data centre %s %s: %s", name, way, text:match('"state":%s*"(%w+)"') or text)
  return text:match('"state":%s*"(%w+)"'), sys.now_us()
end

-- Callers ---------------------------------------------------------------------

local function call(job, entry, verb)
  local out = new_file("answer")
  job.calls[#job.calls + 1] = {out = out, entry = entry,
    pid = sys.spawn(out, BUILD .. "/cli/jacinthpick", "--entry", addr(100 + entry), "--", verb, job.key, job.file)}
end

local function take_key(entry)
  local code, text = run(BUILD .. "/cli/jacinthpick", "--entry", addr(100 + entry), "keys")
  return code == 0 and text:match("%S+") or nil
end

-- submit{entry=, tasks=, ms=, deadline=, service=}: returns a job, nil without a key
function submit(what)
  local key = take_key(what.entry)
  if not key then return nil end
  local job = {key = key, tasks = what.tasks or 10, calls = {}, verb = "submit"}
  local list = {}
  for n = 1, job.tasks do
    list[n] = string.format('{"no":%d,"input":"{\\"ms\\":%d,\\"n\\":%d,\\"of\\":\\"%s\\"}"}', n, what.ms or 50, n, key)
  end
  job.file = new_file("job")
  write(job.file, string.format('{"service":"%s","kind":"buff-plan","deadline_ms":%d,"memory_mb":%d,"tasks":[%s]}',
    what.service or "finishing", what.deadline or 20000, what.memory_mb or 0, table.concat(list, ",")))
  call(job, what.entry, "submit")
  if what.probe then
    settle{job}
    return job.state == "complete"
  end
  note("submit %s, %d tasks, entry %d", key:sub(-6), job.tasks, what.entry)
  jobs[#jobs + 1] = job
  return job
end

-- request{entry=, idempotent=, ms=}
function request(what)
  local key = take_key(what.entry)
  if not key then return nil end
  local job = {key = key, tasks = 1, calls = {}, verb = "request", idempotent = what.idempotent}
  job.file = new_file("job")
  write(job.file, string.format('{"service":"finishing","deadline_ms":%d,"idempotent":%s,'
    .. '"input":"{\\"ms\\":%d,\\"of\\":\\"%s\\"}"}', what.deadline or 20000, tostring(what.idempotent), what.ms or 50, key))
  note("request %s, entry %d", key:sub(-6), what.entry)
  call(job, what.entry, "request")
  jobs[#jobs + 1] = job
  return job
end

function resubmit(job, entry)
  note("resubmit %s, entry %d", job.key:sub(-6), entry)
  call(job, entry, job.verb)
end

function cancel(job, entry)
  note("cancel %s, entry %d", job.key:sub(-6), entry)
  cli(entry, "--", "cancel", job.key) -- a key may begin with "-"
end

-- Take the answers that have come. A final one sets the job's state.
local function collect(job)
  for _, c in ipairs(job.calls) do
    if not c.code then
      c.code = sys.poll(c.pid)
      if c.code then
        c.text = read(c.out)
        c.state = c.text:match('"state":%s*"(%w+)"') or "none"
        c.name = c.text:match('"name":%s*"([%w_]+)"') or "NONE"
        c.run = c.text:match('"run":%s*"([%w ]+)"') or "unknown"
        note("answer %s, entry %d: %s %s", job.key:sub(-6), c.entry, c.state, c.name)
        local again = c.name == "OWNER_AWAY" or c.name == "TRY_AGAIN" or c.state == "none" or c.state == "pending"
        if not again and not job.state then job.state, job.name = c.state, c.name end
      end
    end
  end
end

local function is_busy(job)
  for _, c in ipairs(job.calls) do
    if not c.code then return true end
  end
end

-- Wait until each job has a final answer; callers whose connection broke
-- submit again through another entry, as callers do.
function settle(list)
  list = list or jobs
  wait_until("answers", function()
    local all = true
    for _, job in ipairs(list) do
      collect(job)
      if not job.state and not is_busy(job) then
        local n = math.random(fleet and fleet.entries or 1)
        if not fleet then return true end
        if running["entry-" .. n] and (job.again or 0) <= sys.now_us() then
          job.again = sys.now_us() + RESUBMIT_US
          resubmit(job, n)
        end
      end
      all = all and (job.state or not fleet) and not is_busy(job)
    end
    return all
  end, 120)
end

-- Witnesses ---------------------------------------------------------------------

function starts()
  local all = {}
  local list = io.popen("cat " .. WORK .. "/journal-* 2>/dev/null")
  for line in list:lines() do
    local key, task, at = line:match("^start (%S+) (%d+) %d+ (%d+)")
    if key then all[#all + 1] = {key = key, task = tonumber(task), at = tonumber(at)} end
  end
  list:close()
  return all
end

-- Starts on an upstream after a time.
function starts_after(n, at)
  local count = 0
  local list = io.popen("cat " .. WORK .. "/journal-" .. n .. "-* 2>/dev/null")
  for line in list:lines() do
    local time = line:match("^start %S+ %d+ %d+ (%d+)")
    if time and tonumber(time) > at then count = count + 1 end
  end
  list:close()
  return count
end

function expect(truth, what)
  note("expect %s: %s", what, truth and "holds" or "DOES NOT HOLD")
  if not truth then error("does not hold: " .. what, 0) end
end

local function check_answer(job, c)
  local _, outputs = c.text:gsub('"no":', "")
  local _, own = c.text:gsub('of\\":\\"' .. job.key:gsub("%-", "%%-"), "")
  if c.state == "complete" then
    expect(outputs == job.tasks, "a complete answer has all tasks")
    expect(own == job.tasks, "an answer holds its own outputs")
    expect(job.begun == job.tasks, "what is complete was started")
  else
    expect(outputs == 0, "an answer that is not complete holds no part")
  end
  if c.run == "not run" then expect(job.begun == 0, "\"not run\" is true (" .. c.name .. ")") end
end

-- What must always hold, over all jobs so far.
function check()
  local seen = {}
  for _, s in ipairs(starts()) do
    local name = s.key .. " " .. s.task
    seen[name] = (seen[name] or 0) + 1
  end
  local count = 0
  for _, job in ipairs(jobs) do
    job.begun = 0
    for n = 1, job.tasks do
      local times = seen[job.key .. " " .. n] or 0
      job.begun = job.begun + (times > 0 and 1 or 0)
      expect(times <= 1 or job.idempotent, "task " .. n .. " of " .. job.key:sub(-6) .. " started at most once")
    end
    for _, c in ipairs(job.calls) do
      if c.code then check_answer(job, c) end
    end
    count = count + (job.state == "complete" and 1 or 0)
  end
  print(string.format("%d jobs, %d complete, %d starts", #jobs, count, #starts()))
  return count
end

-- Faults by name, for single scenarios and for pairs. Each begins a fault
-- and returns what ends it, or nothing.
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
  store_down = function() store('{"down":true}'); return function() store('{"down":false}') end end,
  store_slow = function() store('{"delay_ms":1500}'); return function() store('{"delay_ms":0}') end end,
  store_loses = function() store('{"lose_answers":3}') end,
  upstream_fails = function() upstream_faults(1, '{"fail":true}') return function() upstream_faults(1, '{"fail":false}') end end,
  upstream_slow = function() upstream_faults(3, '{"slow":20.0}') return function() upstream_faults(3, '{"slow":1.0}') end end,
  data_centre_out = function() datacentre("out", "dc-3", 3); return function() datacentre("in", "dc-3", 3) end end,
}

-- A fleet under load while faults come and end; then all must be answered.
function under(...)
  local ends = {}
  start{entries = 3, agents = 3, relays = {"entry-1", "agent-1"}}
  local function load(count)
    for i = 1, count do
      local n = math.random(3)
      if running["entry-" .. n] then submit{entry = n, tasks = 5 + math.random(10), ms = math.random(150)} end
      wait(math.random(60))
    end
  end
  load(6)
  for _, name in ipairs{...} do
    ends[#ends + 1] = faults[name]()
    load(3)
  end
  wait(2000 + math.random(2000))
  for _, job in ipairs(jobs) do
    if math.random(3) == 1 then resubmit(job, 3) end
  end
  for _, finish in ipairs(ends) do finish() end
  load(3)
  settle()
  return check()
end
