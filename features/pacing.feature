@pacing
Feature: Pacing of backend servers by their answers, without a network

  # Guards against slow servers that get as much as fast ones, so that their queues grow while the others idle.
  Scenario Outline: <vms> VMs send more to fast servers, also with noise
    Given <vms> VMs and <servers> servers of speed 0.7, 0.7 and 1.7 with noise, at <rate> streams a second
    When they run for 20 s with pacing and without it
    Then the fast servers are known within <known> s
    And the streams take at most 95 % of the time without pacing

    Examples:
      | vms | servers | rate | known |
      | 9   | 12      | 100  | 6     |
      | 79  | 63      | 819  | 6     |
      | 79  | 63      | 100  | 12    |

  # Guards against a VM that learns nothing while it gets no reports.
  Scenario: a VM without reports learns the speeds from its own answers
    Given 1 VMs and 6 servers of speed 0.7, 0.7 and 1.7 with noise, at 70 streams a second
    When they run for 15 s without reports
    Then the fast servers are known within 10 s

  # Guards against noise that is taken for a slow server, and against another placement where no server differs.
  Scenario: even servers with noise are placed as without pacing
    Given 9 VMs and 12 servers of speed 1, 1 and 1 with noise, at 130 streams a second
    When they run for 30 s with pacing and without it
    Then both runs served the same streams at the same times

  # Guards against a slow version that looks like slow servers, which would hide it from its trial.
  Scenario: a version that is slow on all its servers changes no speed
    Given 9 VMs and 12 servers of speed 1, 1 and 0.4 with noise, at 90 streams a second
    And the slow servers run another version
    When they run for 15 s
    Then no server is known as slow or fast

  # Guards against a server that keeps its share while it answers at a quarter of its pace, or stays avoided afterwards.
  Scenario: a server that slows down to a quarter gets less until it recovers
    Given 9 VMs and 12 servers of speed 1, 1 and 1 with noise, at 130 streams a second
    When the first server runs at 0.25 of its speed from 10 s to 20 s of 30 s
    Then its speed is known as at most 0.5 from 15 s to 20 s
    And it gets at most half of an equal share from 15 s to 20 s
    And its speed is known as 1 from 26 s to 30 s

  # Guards against servers that are filled although they answer too slowly then, against limits that stay or rise too early, and against noise that reduces one.
  Scenario Outline: <vms> VMs reduce the limits of <which> of the servers that take <factor> times as long when full
    Given <vms> VMs and <servers> servers of speed 1, 1 and 1 with noise, at <rate> streams a second
    When every fourth server takes <factor> times as long with more than half of its slots, until 30 s of 60 s
    Then the limits of <which> of these servers are reduced, and of no others
    And a reduced limit is not raised in the next 2 s, and all are whole at the end

    Examples:
      | vms | servers | rate | factor | which |
      | 9   | 12      | 120  | 3      | all   |
      | 79  | 24      | 240  | 3      | all   |
      | 79  | 24      | 240  | 1      | none  |

  # Guards against cuts of a server that is slow for another reason than its load, and of one that is full but keeps its pace.
  Scenario Outline: a server at <speed> of its usual speed and load <load> is <verdict>
    Then a server at <speed> of its usual speed and load <load>, which kept its pace at load 8, is <verdict>

    Examples:
      | speed | load | verdict    |
      | 0.7   | 12   | kept       |
      | 0.6   | 12   | slow       |
      | 0.4   | 4    | slow       |
      | 0.4   | 12   | overloaded |

  # Guards against a held limit that VMs raise by single answers, or because a report of another VM is late.
  Scenario: a limit that another VM holds is not raised while it is held
    Given 9 VMs and 3 servers of speed 1, 1 and 1 without noise, at 0 streams a second
    When another VM reports a held limit of 4 for the first server
    And another VM reports its full load
    And the first server answers 3 requests well
    Then the limit of the first server is 4
    When another VM reports its full load
    And another VM reports its full load
    Then the limit of the first server is 16

  # Guards against full load at the moment of the return, and against good servers that are left idle after it.
  Scenario Outline: 31 of 63 servers that come back at once to <vms> VMs are loaded step by step
    Given <vms> VMs and 63 servers of speed 1, 1 and 1 without noise, at 504 streams a second
    When the first 31 servers are gone from 5 s to 9 s of 15 s and come back cold
    Then all 31 start in a ramp, none gets more than its limit, and no stream fails any more
    And they get at least 70 % of an equal share in the first second and in the fifth

    Examples:
      | vms |
      | 9   |
      | 79  |

  # Guards against VMs that each try a bad server for themselves, and against a good one that stays avoided after that.
  Scenario Outline: a flapping server gets trials only from <vms> VMs, and its full share once it stays up
    Given <vms> VMs and 12 servers of speed 1, 1 and 1 without noise, at 120 streams a second
    When the first server is up for half of each second from 5 s to 15 s of 25 s
    Then it gets at most <rate> streams a second from 8 s to 15 s
    And it gets at least half of an equal share from 20 s to 25 s

    Examples:
      | vms | rate |
      | 9   | 3    |
      | 79  | 0.8  |

  # Guards against retries that are lost, once a second, to a server that stays down.
  Scenario: a server that stays down gets a trial every other second
    Given 9 VMs and 12 servers of speed 1, 1 and 1 without noise, at 120 streams a second
    When the first server is down from 5 s to 45 s of 45 s
    Then it gets at most 0.6 streams a second from 15 s to 45 s

  # Guards against a server that stays avoided because nothing is sent to it that would show its speed.
  Scenario: the speed of a server without requests is forgotten
    Given 9 VMs and 12 servers of speed 1, 1 and 1 without noise, at 130 streams a second
    When the first server runs at 0.25 of its speed from 2 s to 12 s of 12 s
    Then its speed is known as at most 0.5 from 10 s to 12 s
    When no requests are sent from 12 s to 62 s
    Then its speed is known as 1 from 62 s to 63 s

  # Guards against a recovered server that a VM avoids for the failures before.
  Scenario: the end of a trial resets the failure rate of the server
    Given 9 VMs and 12 servers of speed 1, 1 and 1 without noise, at 0 streams a second
    When 2 VMs report failures of 4 servers to the first VM
    And the first server fails 1 requests
    And another VM reports that the trial of the first server has led to its full load
    Then the failures of the first server no longer count at the first VM

  # Guards against a VM without links that makes all others avoid good servers.
  Scenario: VMs that report most servers as failing are not believed
    Given 9 VMs and 12 servers of speed 1, 1 and 1 without noise, at 0 streams a second
    When 2 VMs report failures of 12 servers to the first VM
    Then the first VM has 0 servers on trial
    When 2 VMs report failures of 4 servers to the first VM
    Then the first VM has 4 servers on trial

  # Guards against a good server that most VMs leave idle for 10 s, because it took its full load within one period of the reports.
  Scenario Outline: a trial of another VM that has led to <result> ends the trial for all
    Given 9 VMs and 12 servers of speed 1, 1 and 1 without noise, at 0 streams a second
    When 2 VMs report failures of 4 servers to the first VM
    And another VM reports that the trial of the first server has led to <result>
    Then the first VM has 3 servers on trial

    Examples:
      | result        |
      | its full load |
      | a limit of 4  |

  # Guards against servers that get full load at once after each kind of return, and against VMs that each use the whole limit.
  Scenario Outline: all VMs together send half of its slots to a server that is <event>
    Given 9 VMs and 3 servers of speed 1, 1 and 1 without noise, at 0 streams a second
    When the first server is <event>
    Then the VMs together may have 8 requests at the first server

    Examples:
      | event                     |
      | restarted                 |
      | cold again                |
      | back with its data centre |

  # Guards against load that grows although a server is cold or answers far more slowly than usual.
  Scenario Outline: the limit is not raised by answers in <time> ms of a server that is <event>
    Given 1 VMs and 3 servers of speed 1, 1 and 1 without noise, at 0 streams a second
    When the first server answers 9 requests in 100 ms
    And the first server is <event>
    And the first server answers 4 requests in <time> ms
    Then the limit of the first server is <limit>

    Examples:
      | event      | time | limit |
      | cold again | 100  | 8     |
      | restarted  | 900  | 8     |
      | restarted  | 100  | 16    |

  # Guards against a VM that sends all it has to a server right after a failed connection.
  Scenario: a VM that failed to connect to a server sends it one request, and twice as many after each good answer
    Given 9 VMs and 3 servers of speed 1, 1 and 1 without noise, at 0 streams a second
    When the first server fails 1 requests
    Then the first VM may have 1 requests at the first server
    When the first server answers 2 requests well
    Then the first VM may have 4 requests at the first server

  # Guards against streams that lift the limit after a failed connection although they began before it, or with each event.
  Scenario Outline: a failed connection <when> a stream leaves the VM with <count> requests after 9 events
    Given 9 VMs and 3 servers of speed 1, 1 and 1 without noise, at 0 streams a second
    When the first server fails a request <when> a stream of 9 events
    Then the first VM may have <count> requests at the first server

    Examples:
      | when   | count |
      | during | 1     |
      | before | 2     |

  # Guards against good servers that VMs avoid because a caller gives too little time, and against a stalled one that they do not avoid.
  Scenario Outline: a VM may have <count> requests at a server after 2 requests that <end> after <time> ms
    Given 9 VMs and 3 servers of speed 1, 1 and 1 without noise, at 0 streams a second
    When the first server has 9 requests that complete after 100 ms
    And the first server has 2 requests that <end> after <time> ms
    Then the first VM may have <count> requests at the first server

    Examples:
      | end    | time | count |
      | expire | 40   | 100   |
      | expire | 400  | 1     |
      | fail   | 40   | 1     |

  # Guards against a server that seems as fast as the others because its slowest answers never begin.
  Scenario: the time without a first event counts as slow
    Given 1 VMs and 2 servers of speed 1, 1 and 1 without noise, at 0 streams a second
    When the second server has 9 requests that complete after 200 ms
    And the first server has 7 requests that fail after 500 ms
    Then the first VM knows the first server as slower

  # Guards against a first event that is given up by the times of another version.
  Scenario: the answers of one version are not expected to take the time of another
    Given 1 VMs and 3 servers of speed 1, 1 and 1 without noise, at 0 streams a second
    And the slow servers run another version
    When the first server has 9 requests that complete after 100 ms
    Then a whole stream is expected to take 100 ms
    And a whole stream is expected to take ? ms at the third server

  # Guards against discarded answers that make whole ones look short, so that another attempt is started without time for it.
  Scenario: escalated answers do not enter the time of whole ones
    Given 9 VMs and 3 servers of speed 1, 1 and 1 without noise, at 0 streams a second
    When the first server has 9 requests that escalate after 10 ms
    Then a whole stream is expected to take ? ms
    When the first server has 9 requests that complete after 100 ms
    Then a whole stream is expected to take 100 ms

  # Guards against the usual answers losing their typical time to many rare ones, for example during a roll-out.
  Scenario: answers of many classes do not displace those in use
    Then a class of answers in use is still known after answers of 1025 other classes

  # Guards against a server under trial that gets full load for the head of a stream.
  Scenario: an escalated answer does not end a trial
    Given 9 VMs and 12 servers of speed 1, 1 and 1 without noise, at 0 streams a second
    When 2 VMs report failures of 4 servers to the first VM
    And the first server has 1 requests that escalate after 10 ms
    Then the first VM has 4 servers on trial
    When the first server has 1 requests that complete after 10 ms
    Then the first VM has 3 servers on trial

  # Guards against a limit that a server refuses again and again, and against one that stays after that.
  Scenario: refusals cut the limit of a server once a second, and good answers raise it to its slots
    Given 1 VMs and 3 servers of speed 1, 1 and 1 without noise, at 0 streams a second
    When the first server refuses 5 requests
    Then the limit of the first server is 11
    When the first server answers 3 requests well
    Then the limit of the first server is 14
    When the first server answers 3 requests well
    Then the limit of the first server is 16

  # Guards against reports of another version of the program, or broken ones, that stop a VM or enter its figures.
  Scenario: unreadable parts of a report are ignored and counted
    Given 1 VMs and 3 servers of speed 1, 1 and 1 without noise, at 0 streams a second
    When the first VM gets reports with 7 unreadable parts
    Then it has counted 7 unreadable parts and still takes a readable one

  # Guards against a request that waits at one server until no time is left for another, and against retries that gain nothing.
  Scenario Outline: with a target of <target> ms, <remaining> ms left and answers of <first> and <whole> ms, a first event is awaited for <wait> ms
    Then the wait for a first event is <wait> ms with <target>, <remaining>, <first> and <whole>

    Examples:
      | target | remaining | first | whole | wait |
      | 5010   | 4008      | 100   | 400   | 2405 |
      | 5010   | 4008      | 100   | 1500  | 1008 |
      | 5010   | 4008      | 900   | 1500  | 6012 |
      | 5010   | 4008      | ?     | ?     | 2405 |
      | 3019   | 20130     | 100   | 900   | 3623 |
