"""Response times of ideal schedulers, as references for measured ones.

Both references assume that messages take no time:

bound: a lower bound for any schedule. The larger of the job's longest task
    and its total work divided by the number of slots, as if no other job ran.
central: the response time under a central scheduler that knows the state of
    all slots and all run times. It starts jobs by priority and then in order
    of arrival, the longest task of a job first, and leaves no slot idle while
    a task waits. A job that cannot end before its deadline is dropped when
    its turn comes, before any of its tasks starts.
"""

import heapq

REQUEST = "request"


def bound_ms(job, slots):
    """Lower bound of the response time of a job."""
    runs = job["runs"]
    return max(max(runs), sum(runs) / slots)


def central_ms(jobs, slots, reject=True):
    """Response time of each job in the order of `jobs`; None if dropped.

    `jobs` are dicts with the keys at_us, priority, runs, deadline_ms and
    request. Requests take no slot. With reject=False no job is dropped.
    """
    responses = [None] * len(jobs)
    order = sorted(range(len(jobs)), key=lambda i: jobs[i]["at_us"])
    queues = [[], [], []]
    free = slots
    running = []  # (end_ms, job)
    unstarted = {}
    arrived = 0
    now = 0.0
    while arrived < len(order) or running or any(queues):
        while (arrived < len(order) and
               jobs[order[arrived]]["at_us"] / 1000 <= now):
            index = order[arrived]
            arrived += 1
            if jobs[index]["request"]:
                responses[index] = max(jobs[index]["runs"])
                continue
            tasks = sorted(jobs[index]["runs"], reverse=True)
            queues[jobs[index]["priority"]].append([index, tasks, 0])
        for queue in queues:
            while queue and free:
                index, tasks, started = queue[0]
                job = jobs[index]
                deadline = job["at_us"] / 1000 + job["deadline_ms"]
                late = now + max(tasks[0], sum(tasks) / slots) > deadline
                if reject and started == 0 and late:
                    queue.pop(0)
                    continue
                heapq.heappush(running, (now + tasks[started], index))
                unstarted[index] = unstarted.get(index, len(tasks)) - 1
                free -= 1
                queue[0][2] += 1
                if queue[0][2] == len(tasks):
                    queue.pop(0)
        next_times = []
        if running:
            next_times.append(running[0][0])
        if arrived < len(order):
            next_times.append(jobs[order[arrived]]["at_us"] / 1000)
        if not next_times:
            break
        now = max(now, min(next_times))
        while running and running[0][0] <= now:
            end, index = heapq.heappop(running)
            free += 1
            responses[index] = max(responses[index] or 0,
                                 end - jobs[index]["at_us"] / 1000)
    return responses
