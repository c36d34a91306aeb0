"""What a scheduler that knew everything would give.

Two figures for each job, both without any message:

bound: no schedule can be faster. The larger of the job's longest task and
    its total work spread over all slots, as if nothing else ran.
central: the answer of one scheduler that sees every slot and all run times
    at once. Urgent jobs first, within a class in order of arrival, a job's
    longest task first, never a slot idle while a task waits. Jobs that it
    knows to end after their deadline are dropped whole on arrival in that
    order's turn, before any of their tasks starts.
"""

import heapq

REQUEST = "request"


def bound_ms(job, slots):
    runs = job["runs"]
    return max(max(runs), sum(runs) / slots)


def central_ms(jobs, slots, reject=True):
    """Answer time of each job in order of `jobs`; None for a dropped one.

    `jobs` are dicts with at_us, priority, runs, deadline_ms, request."""
    answers = [None] * len(jobs)
    order = sorted(range(len(jobs)), key=lambda i: jobs[i]["at_us"])
    queues = [[], [], []]
    free = slots
    running = []  # (end_ms, job)
    left = {}
    at = 0
    now = 0.0
    while at < len(order) or running or any(queues):
        while at < len(order) and jobs[order[at]]["at_us"] / 1000 <= now:
            index = order[at]
            at += 1
            if jobs[index]["request"]:
                answers[index] = max(jobs[index]["runs"])
                continue
            tasks = sorted(jobs[index]["runs"], reverse=True)
            queues[jobs[index]["priority"]].append([index, tasks, 0])
        for queue in queues:
            while queue and free:
                index, tasks, given = queue[0]
                job = jobs[index]
                due = job["at_us"] / 1000 + job["deadline_ms"]
                late = now + max(tasks[0], sum(tasks) / slots) > due
                if reject and given == 0 and late:
                    queue.pop(0)
                    continue
                heapq.heappush(running, (now + tasks[given], index))
                left[index] = left.get(index, len(tasks)) - 1
                free -= 1
                queue[0][2] += 1
                if queue[0][2] == len(tasks):
                    queue.pop(0)
        times = []
        if running:
            times.append(running[0][0])
        if at < len(order):
            times.append(jobs[order[at]]["at_us"] / 1000)
        if not times:
            break
        now = max(now, min(times))
        while running and running[0][0] <= now:
            end, index = heapq.heappop(running)
            free += 1
            answers[index] = max(answers[index] or 0,
                                 end - jobs[index]["at_us"] / 1000)
    return answers
