Feature: Admission

  Scenario Outline: <senders> VMs share the cold allowance of <allowance> of one backend server
    Given admission manages 1 cold backend servers with 8 slots and a cold allowance of <allowance>
    When admission gets requests from <senders> VMs for 5 permits each
    Then admission has granted <allowance> permits
    And admission has overloaded no cold backend server
    When admission sees the backend servers become warm
    Then admission has granted 8 permits

    Examples:
      | senders | allowance |
      | 8       | 1         |
      | 8       | 2         |
      | 3       | 3         |

  Scenario Outline: a warm backend server that <event> unannounced gets no more than its cold allowance
    Given admission manages 1 warm backend servers with 8 slots and a cold allowance of 1
    And admission has 6 requests running
    When the admission backend server <event> without warning
    And admission gets requests from 8 VMs for 2 permits each
    And admission detects it by <sign>
    Then admission has overloaded no cold backend server
    And admission has counted a cold start with the reason <reason>

    Examples:
      | event      | sign                     | reason   |
      | restarts   | a probe                  | instance |
      | restarts   | a first byte             | instance |
      | restarts   | lost connections         | instance |
      | turns cold | a probe                  | report   |
      | turns cold | a late first byte        | report   |

  Scenario: a lost connection marks a backend server cold before a probe is answered
    Given admission manages 1 warm backend servers with 8 slots and a cold allowance of 1
    And admission has 3 requests running
    And admission has probes that take 100 ms
    When a running admission request loses its connection
    And admission gets requests from 4 VMs for 1 permits each
    Then admission has granted 3 permits
    And admission has counted a cold start with the reason crash

  Scenario: a probe that was in flight when a connection was lost does not mark the backend server warm
    Given admission manages 1 warm backend servers with 8 slots and a cold allowance of 1
    And admission has probes that take 100 ms
    And admission has 1 requests running
    When a running admission request loses its connection
    And admission waits 100 ms
    Then admission counts 0 backend servers as warm

  Scenario Outline: with timed-out probes and first bytes of <answers> of 7 requests, <warm> backend servers count as warm
    Given admission manages 1 warm backend servers with 16 slots and a cold allowance of 1
    And admission has 7 requests running
    And admission has probes that time out
    When admission gets requests from 1 VMs for 1 permits each
    And admission gets a first byte of <answers> running requests, one each 400 ms
    And admission waits <rest> ms
    Then admission counts <warm> backend servers as warm
    When admission gets requests from 3 VMs for 1 permits each
    Then admission has granted 8 permits

    Examples:
      | answers | rest | warm |
      | 7       | 0    | 1    |
      | 0       | 2800 | 0    |

  Scenario: a first byte of the previous instance does not mark the new one cold
    Given admission manages 1 warm backend servers with 8 slots and a cold allowance of 1
    And admission has 2 requests running
    When the admission backend server restarts warm without warning
    And admission waits 5000 ms
    And admission gets a first byte of the previous instance
    Then admission has counted a cold start with the reason instance
    And admission counts 1 backend servers as warm

  Scenario: a backend server that restarts and reports warm at once is ramped up again
    Given admission manages 1 warm backend servers with 8 slots and a cold allowance of 1
    When the admission backend server restarts warm without warning
    And admission gets requests from 8 VMs for 1 permits each
    Then admission has granted 1 permits
    When admission waits 2500 ms
    Then admission has granted 8 permits

  Scenario Outline: load reports that lag <lag> ms do not change the number of free slots
    Given admission manages 1 warm backend servers with 4 slots, a cold allowance of 4 and reports that lag <lag> ms
    When admission starts and ends 12 requests in groups of 4
    Then admission has granted 12 permits
    And the admission summary shows 4 free slots

    Examples:
      | lag |
      | 0   |
      | 900 |

  Scenario Outline: a new leader that <registration> of its predecessor's permits causes <overloads> overloads
    # The load reports lag behind by more than the takeover wait, so only the registration shows the running requests.
    Given admission manages 2 cold backend servers with 8 slots, a cold allowance of 1 and reports that lag 5000 ms
    And admission has 2 requests running
    When admission is taken over by a new leader that <registration> of the held permits
    And admission waits until the new leader grants
    And admission gets requests from 2 VMs for 1 permits each
    Then admission has overloaded cold backend servers <overloads> times

    Examples:
      | registration      | overloads |
      | is told           | 0         |
      | is not told       | 2         |

  Scenario: a new leader counts a request that started late before its first grant
    Given admission manages 1 cold backend servers with 8 slots, a cold allowance of 1 and reports that lag 1000 ms
    When admission has probes that take 100 ms
    And admission grants a permit, is taken over, and the request starts 900 ms later
    And admission waits 1100 ms
    And admission gets requests from 2 VMs for 1 permits each
    And admission waits 500 ms
    Then admission has overloaded no cold backend server

  Scenario: a registered permit that never starts is not counted as the request of a dead VM
    Given admission manages 1 cold backend servers with 8 slots and a cold allowance of 2
    And admission has 2 requests running
    When admission is taken over by a new leader with one registered permit that never started
    And admission waits until the new leader grants
    And the permit that never started is released as not sent
    And admission gets requests from 3 VMs for 1 permits each
    Then admission has granted 3 permits
    And admission has overloaded no cold backend server

  Scenario: a new leader refuses requests with the remaining time until its predecessor's permits have expired
    Given admission manages 1 cold backend servers with 8 slots and a cold allowance of 1
    When admission is taken over by a new leader that is told of the held permits
    And admission waits 1500 ms
    And admission gets requests from 1 VMs for 1 permits each
    Then admission refused the last request with "settling" and a retry time of 500 ms

  Scenario: a leader whose lease expired during a pause grants nothing
    Given admission manages 1 cold backend servers with 8 slots and a cold allowance of 1
    And admission has 1 requests running
    And admission has a queued request
    When admission loses its lease during a pause and a running request ends
    Then admission refused the last request with "not_leader" and a retry time of 250 ms

  Scenario Outline: permits of a VM that <event> are kept while the backend server <case>
    Given admission manages 1 cold backend servers with 8 slots and a cold allowance of 1
    And admission has 1 requests running
    And admission has a queued request
    When admission learns that the VM with the running request <event>
    And admission waits <waited> ms while the backend server <case>
    Then admission has granted <granted> permits
    And admission has overloaded no cold backend server

    Examples:
      | event     | case                      | waited | granted |
      | died      | has dropped the request   | 1900   | 1       |
      | died      | has dropped the request   | 2600   | 2       |
      | died      | still runs the request    | 9000   | 1       |
      | restarted | has dropped the request   | 2600   | 2       |

  Scenario Outline: a release that arrives <order> frees at most one slot
    Given admission manages 1 cold backend servers with 8 slots and a cold allowance of 2
    And admission has 2 requests running
    When admission gets a release <order>
    And admission gets requests from 3 VMs for 1 permits each
    Then admission has granted <granted> permits
    And admission has overloaded no cold backend server

    Examples:
      | order                                        | granted |
      | twice                                        | 3       |
      | from another VM                              | 2       |
      | before the registration with a new leader    | 3       |

  Scenario Outline: a queued request is refused with <reason> when the <object> is <change>
    Given admission manages 1 cold backend servers with 8 slots and a cold allowance of 1
    And admission has 1 requests running
    And admission has a queued request
    When the admission <object> is <change>
    Then admission refused the last request with "<reason>" and a retry time of 250 ms

    Examples:
      | object         | change                | reason            |
      | version        | withdrawn             | withdrawn         |
      | backend server | drained               | no_backend_server |
      | data centre    | taken out of service  | out_of_service    |

  Scenario Outline: a leader gets a request with a newer configuration that <case>
    Given admission manages 1 cold backend servers with 8 slots and a cold allowance of 1
    When admission gets a request with a newer configuration that <case>
    Then admission <outcome> the last request

    Examples:
      | case                  | outcome |
      | arrives after 100 ms  | granted |
      | does not arrive       | refused |
      | withdraws the version | refused |

  Scenario Outline: <contenders> share the grants by weight
    Given admission manages 1 warm backend servers with 4 slots and a cold allowance of 4
    And admission has contracts of weight 1 for team-1 and 3 for team-2
    When admission gets 60 requests of each of "<contenders>" and grants 40
    Then admission granted about <first> of the first and <second> of the second

    Examples:
      | contenders                     | first | second |
      | team-1 normal and team-2 normal | 10    | 30     |
      | team-1 urgent and team-1 batch  | 37    | 3      |
      | team-1 normal and team-1 batch  | 32    | 8      |

  Scenario: within a team the earliest deadline goes first
    Given admission manages 1 cold backend servers with 8 slots and a cold allowance of 1
    And admission has 1 requests running
    When admission gets requests that may wait 9000, 3000 and 6000 ms
    Then admission grants them in the order 3000, 6000, 9000

  Scenario: a request that cannot start before its deadline is refused at once with a retry time
    Given admission manages 1 warm backend servers with 4 slots and a cold allowance of 4
    And admission has measured that a request takes 1000 ms
    And admission has 4 requests running
    When admission gets 40 requests that may wait 2000 ms
    Then admission refused 32 of them at once
    And admission grants a request that is repeated after the longest retry time

  Scenario Outline: <granted> of <retries> retries are granted after <first> first attempts
    Given admission manages 1 warm backend servers with 300 slots and a cold allowance of 300
    When admission grants <first> first attempts and gets <retries> retries
    Then admission has granted <granted> retries and counted the others as "retry_budget"

    Examples:
      | first | retries | granted |
      | 200   | 50      | 20      |
      | 2     | 15      | 10      |

  Scenario Outline: <case> requests go to <servers> backend servers with <slots> slots
    Given admission manages 3 warm backend servers with <slots> slots and a cold allowance of <slots>
    When admission gets 3 <case> requests with the same prompt prefix
    Then admission has granted <granted> permits
    And admission has sent them to <servers> backend servers

    Examples:
      | case                      | slots | granted | servers |
      | ordinary                  | 8     | 3       | 1       |
      | identical                 | 1     | 3       | 3       |
      | identical short           | 8     | 3       | 1       |
      | identical suspect         | 8     | 3       | 1       |
      | identical suspect         | 1     | 1       | 1       |
      | different suspect         | 8     | 3       | 3       |
      | reported suspect          | 8     | 3       | 3       |

  Scenario Outline: a prefix index that is notified of <events> expects <share> of the prompt in the cache
    Given admission has sent a prompt of 4 blocks to a backend server
    When admission is notified of <events>
    Then admission expects <share> of the prompt in the cache

    Examples:
      | events                                        | share |
      | nothing                                       | 1     |
      | the removal of the longest prefix             | 0.75  |
      | a gap                                         | 0.5   |
      | a gap and the prefix again                    | 1     |
      | an older event with the removal of everything | 1     |

  Scenario: a quarantined request is refused
    Given admission manages 1 warm backend servers with 8 slots and a cold allowance of 1
    When admission gets a quarantined request
    Then admission refused the last request with "quarantined" and a retry time of 600000 ms

  Scenario: leaders without summaries of each other exceed a team limit by at most the number of data centres minus 1
    Given admission of 4 data centres without summaries of each other and a team limit of 10
    When admission of each data centre gets 10 requests
    Then admission of all data centres has granted 12 permits

  Scenario: requests of a team at its limit wait and do not block other teams
    Given admission manages 1 warm backend servers with 8 slots and a cold allowance of 8
    And admission has a limit of 2 for team-1
    When admission queues 3 requests of team-1 and 2 of team-2
    Then admission has granted 4 permits
    When admission waits 10000 ms
    Then admission refused request 3 of team-1 with "team_limit"

  Scenario: a full queue evicts the last request of the longest flow
    Given admission manages 1 cold backend servers with 8 slots and a cold allowance of 1
    And admission has a queue bound of 4
    And admission has 1 requests running
    When admission queues 4 requests of team-1 and 1 of team-2
    Then admission refused request 4 of team-1 with "queue_full"

  Scenario: no interleaving of grants, releases, deaths and takeovers overloads a cold backend server
    When admission runs random interleavings with seed 20261204
    Then admission has overloaded no cold backend server in any of them
