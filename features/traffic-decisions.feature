@traffic
Feature: Decisions about forwarded traffic, without a network

  Scenario Outline: after the store has confirmed the configuration, the keys are <result> when <event>
    Given a config lease of 5000 ms
    When the store confirms the configuration
    And <event>
    Then the keys are <result>

    Examples:
      | event                                | result      |
      | 4000 ms pass                         | trusted     |
      | 4400 ms pass                         | not trusted |
      | the VM is frozen for 6000 ms         | not trusted |
      | the wall clock jumps back by 2000 ms | trusted     |

  Scenario: the answer to a call that was sent before a freeze does not renew the config lease
    Given a config lease of 5000 ms
    When the VM is frozen for 6000 ms between a call and its answer
    Then the keys are not trusted

  # Guards against withdrawn keys that work again because an older copy of the store confirms them.
  Scenario Outline: after a restore of the store, the keys are <result> when <event>
    Given a config lease of 5000 ms
    When the store is restored from an older copy
    And <event>
    And the store confirms the configuration
    Then the keys are <result>

    Examples:
      | event                              | result      |
      | 1500 ms pass                       | not trusted |
      | 2000 ms pass                       | trusted     |
      | the configuration is written again | trusted     |

  Scenario Outline: <vms> VMs together stay within the rate limit of a cold backend server
    Given <vms> VMs with a bound of 23 requests a second to a cold backend server
    When each VM sends as many requests as its share allows within one second
    Then the backend server gets at least 15 and at most 23 requests

    Examples:
      | vms |
      | 1   |
      | 3   |
      | 9   |
      | 89  |

  Scenario Outline: <vms> VMs together stay within the retry budget
    Given <vms> VMs that share 0.9 retries a request and 58 more in 10 s
    When 450 requests all fail and are retried as often as allowed
    Then the retries are at least 200 and at most 463

    Examples:
      | vms |
      | 1   |
      | 9   |

  # Guards against escalations that use up the retry budget, so that failed requests can no longer be retried.
  Scenario: escalations leave retries for failures
    Given 1 VMs that share 0.9 retries a request and 58 more in 10 s
    When 200 requests ask for better answers as often as allowed
    Then at least 20 % of the retries are left for failures

  Scenario: entries that expired during a store outage are kept for a grace period
    Given a pool with backend servers a, b
    When the store recovers and lists only a
    Then the pool offers a, b
    When 2100 ms pass in the pool
    Then the pool offers a

  Scenario: backend servers that a restored store lacks are kept for the grace period
    Given a pool with backend servers a, b
    When the store was restored from a copy with only a
    Then the pool offers a, b
    When 2100 ms pass in the pool
    Then the pool offers a

  # Guards against requests to a backend server that leaves, or to an earlier process of one, because an older entry says so.
  Scenario: an older entry of a backend server that leaves does not bring it back
    Given a pool with backend servers a, b
    When b leaves
    And the earlier entry of b is read again
    Then the pool offers a

  Scenario: an older entry of a backend server that has restarted does not bring the earlier process back
    Given a pool with backend servers a, b
    When b restarts
    And the earlier entry of b is read again
    Then the pool offers a, b
    And the pool knows the latest process of b

  Scenario: an entry that is written again within the grace period stays
    Given a pool with backend servers a, b
    When the store recovers and lists only a
    And 1000 ms pass in the pool
    And the entry of b is written
    And 2100 ms pass in the pool
    Then the pool offers a, b

  # Guards against repeated misdirected requests: the entry of b is stale and its address belongs to another backend server.
  Scenario: a backend server whose address belongs to another one gets no requests until its entry changes
    Given a pool with backend servers a, b
    When a request to b is answered by another backend server
    Then the pool offers a
    When 60000 ms pass in the pool
    And the entry of b is written
    Then the pool offers a
    When the entry of b is written with a later start
    Then the pool offers a, b

  Scenario: a backend server whose entry is removed while the store is available gets no more requests
    Given a pool with backend servers a, b
    When the entry of b is removed
    Then the pool offers a

  # Guards against a limit that starts anew when the entry of a backend server lapses for a moment.
  Scenario: removing the entry of a backend server does not reset the count of its cold limit
    Given a pool that may send 3 requests to a in a second and has sent them
    When the entry of a is removed and written again
    Then the pool may send no request to a
    When 1100 ms pass in the pool
    Then the pool may send another request to a

  # Guards against a named limit that each VM applies by itself, and against one of less than a request per VM and second.
  Scenario Outline: <vms> VMs, of which <joining> join later, together stay within a limit of <rate> requests a second
    Given <vms> VMs that send to a backend server as often as they may, and <joining> more after 6 s
    When one of them gets an answer that names a limit of <rate> requests a second
    Then from 2 s later on the backend server gets at least <min> and at most <max> requests in any 4 s

    Examples:
      | vms | joining | rate | min | max |
      | 8   | 0       | 3.2  | 12  | 13  |
      | 8   | 2       | 3.2  | 10  | 19  |
      | 9   | 0       | 0.1  | 1   | 1   |
      | 89  | 0       | 1    | 4   | 4   |
      | 89  | 0       | 50   | 200 | 200 |
      | 89  | 10      | 2.9  | 9   | 17  |

  Scenario: all VMs learn that a limit has ended
    Given 89 VMs that send to a backend server as often as they may, and 0 more after 6 s
    When one of them gets an answer that names a limit of 1 requests a second
    And one of them gets an answer that names no limit
    Then none of them has a limit for the backend server

  Scenario: all VMs forget the limit of a backend server that has left
    Given 9 VMs that send to a backend server as often as they may, and 0 more after 6 s
    When one of them gets an answer that names a limit of 1 requests a second
    And the entry of the backend server is removed, later at each VM
    Then none of them has a limit for the backend server

  # Guards against a VM that uses its share twice because it was restarted within the window of the limit.
  Scenario: a restart does not reset the count of a cold limit
    Given a VM that has just started and may send 3 requests to a in a second
    Then the pool may send no request to a
    When 1100 ms pass in the pool
    Then the pool may send another request to a

  Scenario: a request in flight is notified when its backend server restarts under the same id
    Given a pool with backend servers a, b
    When the entry of b is written with a later start
    Then the request in flight at b is notified of the removal

  # The rows with requests that wait guard against a version that looks fast because only its fast answers have ended.
  # Those with old requests that wait as well guard against a good version that waits for the end of a surge of load.
  Scenario Outline: a trial with <to> on the new and <from> on the old version gives <verdict>
    Given a trial in which the old version had <from> and the new one <to>
    Then the evidence says <verdict>

    Examples:
      | from                            | to                                                         | verdict |
      | 2 of 300 failed                 | 4 of 12 failed                                             | worse   |
      | 2 of 300 failed                 | 2 of 12 failed                                             | wait    |
      | 2 of 300 failed                 | 0 of 30 failed                                             | good    |
      | 90 of 300 failed                | 5 of 12 failed                                             | good    |
      | 300 took 100 ms                 | 12 took 800 ms                                             | worse   |
      | 300 took 100 ms                 | 12 took 150 ms                                             | good    |
      | 300 took 100 ms                 | 6 took 100 ms, 6 wait for 800 ms                           | worse   |
      | 300 took 100 ms                 | 20 took 100 ms, 5 wait for 200 ms                          | wait    |
      | 300 took 100 ms                 | 20 took 100 ms, 5 wait for 60 ms                           | good    |
      | 300 took 100 ms, 40 wait for 200 ms | 20 took 100 ms, 5 wait for 200 ms                      | good    |
      | 300 took 100 ms, 20 wait for 60 ms, 20 wait for 200 ms | 20 took 100 ms, 10 wait for 200 ms  | wait    |
      | 300 took 100 ms, 9 wait for 2000 ms | 30 took 100 ms, 2 wait for 2000 ms                     | good    |
      | 300 had 30 ms between events    | 6 had 30 ms between events, 6 had 240 ms between events    | worse   |

  # Guards against a takeover that is not completed, because under a surge some requests always wait longer than most did.
  Scenario: requests under way in a takeover are compared with those that the old version had before
    Given a trial in which the old version had 300 took 100 ms, 40 wait for 200 ms and the new one 20 took 100 ms, 5 wait for 200 ms
    When the old version has no requests under way any more
    Then the evidence says good

  Scenario: a version that starts to fail late is detected despite its good start
    Given a trial in which the new version answered 60 requests well
    When it fails 5 of the next 10 requests
    Then the evidence says worse

  # The rows with 79 VMs guard against sessions that go back because another VM has few requests or has used its share (6 s),
  # and against a second stage that takes more than the allowed share (24 s).
  Scenario Outline: a trial on <vms> VMs moves no session back and stays within its share
    Given a roll-out of <seconds> s that <vms> VMs follow, with at most <share> % on trial
    When 400 sessions send requests all the time
    Then at most 4 % of the requests use the new version in the first half
    And at most <share> % of the requests before the take-over use the new version
    And no session that has used the new version goes back

    Examples:
      | vms | seconds | share |
      | 9   | 20      | 15    |
      | 79  | 20      | 9.75  |
      | 79  | 24      | 9.75  |
      | 79  | 6       | 9.75  |

  # Guards against sessions that never end, because the VMs keep telling each other about them.
  Scenario Outline: a session on trial is <known> on another VM <ms> ms after its last request
    Given two VMs that tell each other the sessions on trial, with pauses of at most 8000 ms
    When <ms> ms pass after the only request of a session
    Then the other VM <verdict> the session on trial

    Examples:
      | ms    | known   | verdict |
      | 1000  | known   | keeps   |
      | 9900  | known   | keeps   |
      | 10100 | unknown | forgets |

  # Guards against a session that changes its version back because its VM has used its share of the trial.
  Scenario: a session on trial stays on the new version when its VM has used its share
    Given a roll-out of 20 s that 20 VMs follow
    When a session on trial sends 50 requests to one VM
    Then all of them go to the new version
    And no further session of the VM is put on trial

  Scenario: a bad version is rolled back by the next VM when the deciding VM has died
    Given a roll-out of 20 s that 9 VMs follow
    When the deciding VM dies
    And the new version fails half of its requests
    Then the order is rolled back within 4000 ms
    And no VM sends requests to the new version

  # Guards against a roll-out that goes back, because a restored store has lost its state.
  Scenario Outline: a roll-out whose state the store has lost stays <state>, and its state is written again
    Given a roll-out of 20 s that 9 VMs follow
    When <traffic>
    And the store is restored to when the order was <stored>
    Then the order is <state> again
    And <versions>

    Examples:
      | state       | stored  | traffic                                     | versions                                     |
      | completed   | running | 400 sessions send requests all the time     | every VM sends requests only to the new version |
      | completed   | ordered | 400 sessions send requests all the time     | every VM sends requests only to the new version |
      | rolled_back | running | the new version fails half of its requests  | no VM sends requests to the new version      |

  Scenario: a version that fails on one route only is rolled back
    Given a roll-out of 20 s that 9 VMs follow
    When the new version fails on one of 4 routes
    Then the order is rolled back

  Scenario: a good version takes over all requests near the end of the roll-out
    Given a roll-out of 20 s that 9 VMs follow
    When 400 sessions send requests all the time
    Then the order is completed after more than half of its time
    And every VM sends requests only to the new version

  # Guards against a completion that is due, but waits for the next period and is late.
  Scenario: a good version is completed within the time of a short roll-out
    Given a roll-out of 10 s that 9 VMs follow
    When 400 sessions send requests all the time
    Then the order is completed before its time is over

  # Guards against sessions that still use the old version when its backend servers are removed, and whose move to the
  # new version overlaps with the next order.
  Scenario: no session is left on the old version when a roll-out ends
    Given a roll-out of 20 s that 9 VMs follow
    When 400 sessions send requests all the time
    Then the order is completed after more than half of its time
    And no request has used the old version for 5000 ms when the order is completed

  Scenario: a version that fails under full load is rolled back within its share
    Given a roll-out of 20 s that 9 VMs follow
    When the new version fails half of its requests once it gets all of them
    Then the order is rolled back
    And at most 15 % of all requests and 30 more use the new version

  # Guards against judging a version by the requests that it has answered while its slow ones are still under way.
  Scenario Outline: a version that <fault> for half of its requests is rolled back before it takes over
    Given a roll-out of 15 s that 9 VMs follow
    When the new version <fault> for half of its requests
    Then the order is rolled back
    And the new version never got all requests
    And at most 15 % of all requests and 30 more use the new version

    Examples:
      | fault                                  |
      | sends its first event 300 times later  |
      | sends later events 8 times more slowly |

  # Guards against a session that changes its version because its answer was too poor and was asked for again.
  Scenario Outline: a request on trial <cause> goes to <version>
    Given a roll-out of 20 s that 1 VMs follow
    When the first request on trial <cause>
    Then it goes to the <version> version

    Examples:
      | cause                              | version |
      | is repeated for a better answer    | new     |
      | is repeated after a failure        | old     |

  Scenario: free capacity goes to the most urgent request, and to the oldest one of equal urgency
    Given a queue for room with waiting requests of urgency 2, 0, 1, 0
    When room appears for 3 requests
    Then the requests 1, 3, 2 are placed

  Scenario: a request that gets no capacity is refused when its wait times out
    Given a queue for room with waiting requests of urgency 1
    When 1000 ms pass without room
    Then the request is refused

  Scenario: requests with a popular prefix go to two engines first and to others when these are busy
    Given 8 engines without load
    When 40 requests with one prefix are placed
    Then the busiest engine has at most 3 requests more than the least busy one
    And the first requests went to at most 2 engines

  Scenario: engines on which other VMs run long prompts are avoided
    Given 4 engines without load
    And another VM reports long prompts on all engines but one
    When 1 requests with one prefix are placed
    Then the request went to the engine without long prompts

  # Guards against load reports that reach only a sample of the VMs, and against a number of messages per VM that grows
  # with the fleet.
  Scenario Outline: <vms> VMs know each other's load from few messages
    Given <vms> VMs that have each put a load of 1 on an engine
    When they exchange reports for 2000 ms
    And half of the VMs remove their load
    And they exchange reports for 2000 ms
    Then each VM knows the load of the others to within 1 %
    And no VM has sent more than <most> messages

    Examples:
      | vms | most |
      | 8   | 112  |
      | 89  | 30   |
      | 195 | 40   |
      | 300 | 40   |
      | 340 | 40   |

  # Guards against load reports that cross data centres once for each VM.
  Scenario Outline: of <vms> VMs in 6 data centres, <collectors> collect the load reports, the own one first
    Then <vms> VMs have <collectors> collectors, and each reports to that of its own data centre first if there is one

    Examples:
      | vms | collectors |
      | 20  | 2          |
      | 89  | 4          |
      | 195 | 6          |
      | 340 | 6          |

  # Guards against sessions that change to a version on trial although they run on the old one, at any VM.
  Scenario Outline: no running session moves in the first half of a roll-out of <seconds> s at <vms> VMs
    Given <vms> VMs that serve 600 sessions with answers of up to 5 s
    When a roll-out of <seconds> s begins and its first half passes
    Then at most 3 requests have moved their session to the new version, and sessions that began there have used it

    Examples:
      | vms | seconds |
      | 9   | 24      |
      | 79  | 24      |
      | 79  | 16      |

  Scenario Outline: the splitter finds the events of a stream that arrives in chunks of <bytes> bytes
    Given a stream of 3 events in chunks of <bytes> bytes
    Then the splitter finds the events 1, 2, 3 unchanged

    Examples:
      | bytes |
      | 1     |
      | 7     |
      | 1000  |

  Scenario Outline: fewer answers are escalated at a higher load: confidence <confidence> at a mean load of <load> is <kept>
    Then an answer with confidence <confidence> is <kept> at a mean load of <load>

    Examples:
      | load | confidence | kept    |
      | 2    | 47         | dropped |
      | 2    | 60         | kept    |
      | 30   | 47         | kept    |
      | 30   | 10         | dropped |

  # Guards against a threshold that falls only when engines with few slots are full.
  Scenario Outline: an answer with confidence 40 at a mean load of 9 is <kept> with <slots> slots
    Then an answer with confidence 40 is <kept> at a mean load of 9 with <slots> slots

    Examples:
      | slots | kept    |
      | 16    | kept    |
      | 24    | dropped |
      | 64    | dropped |
