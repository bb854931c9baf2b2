Feature: Admission

  Scenario Outline: <senders> senders share the allowance of <allowance> of one cold backend server
    Given admission leads 1 cold backend servers with 8 slots and an allowance of <allowance>
    When admission is asked by <senders> VMs for 5 permits each
    Then admission has granted <allowance> permits
    And admission has overloaded no cold backend server
    When admission sees the backend servers become warm
    Then admission has granted 8 permits

    Examples:
      | senders | allowance |
      | 8       | 1         |
      | 8       | 2         |
      | 3       | 3         |

  Scenario Outline: a warm backend server that <event> unannounced gets no more than its allowance
    Given admission leads 1 warm backend servers with 8 slots and an allowance of 1
    And admission has 6 requests running
    When the admission backend server <event> without warning
    And admission is asked by 8 VMs for 2 permits each
    And admission learns of it by <sign>
    Then admission has overloaded no cold backend server
    And admission has counted a cold start by <reason>

    Examples:
      | event      | sign                     | reason   |
      | restarts   | a probe                  | instance |
      | restarts   | a first byte             | instance |
      | restarts   | lost connections         | instance |
      | turns cold | a probe                  | report   |
      | turns cold | a late first byte        | report   |

  Scenario: a lost connection turns a backend server cold before a probe is answered
    Given admission leads 1 warm backend servers with 8 slots and an allowance of 1
    And admission has 3 requests running
    And admission has probes that take 100 ms
    When admission loses the connection of a running request
    And admission is asked by 4 VMs for 1 permits each
    Then admission has granted 3 permits
    And admission has counted a cold start by crash

  Scenario: a probe that was under way when a connection was lost proves nothing
    Given admission leads 1 warm backend servers with 8 slots and an allowance of 1
    And admission has probes that take 100 ms
    And admission has 1 requests running
    When admission loses the connection of a running request
    And admission waits 100 ms
    Then admission counts 0 backend servers as warm

  Scenario Outline: a backend server that misses probes and answers <answers> of 7 requests counts as warm <warm> times
    Given admission leads 1 warm backend servers with 16 slots and an allowance of 1
    And admission has 7 requests running
    And admission has probes that time out
    When admission is asked by 1 VMs for 1 permits each
    And admission gets a first byte of <answers> running requests, one each 400 ms
    And admission waits <rest> ms
    Then admission counts <warm> backend servers as warm
    When admission is asked by 3 VMs for 1 permits each
    Then admission has granted 8 permits

    Examples:
      | answers | rest | warm |
      | 7       | 0    | 1    |
      | 0       | 2800 | 0    |

  Scenario: a first byte of the former instance does not turn the new one cold
    Given admission leads 1 warm backend servers with 8 slots and an allowance of 1
    And admission has 2 requests running
    When the admission backend server restarts warm without warning
    And admission waits 5000 ms
    And admission gets a first byte of the former instance
    Then admission has counted a cold start by instance
    And admission counts 1 backend servers as warm

  Scenario: a backend server that restarts and reports warm at once is ramped up again
    Given admission leads 1 warm backend servers with 8 slots and an allowance of 1
    When the admission backend server restarts warm without warning
    And admission is asked by 8 VMs for 1 permits each
    Then admission has granted 1 permits
    When admission waits 2500 ms
    Then admission has granted 8 permits

  Scenario Outline: load reports that lag <lag> ms neither hide nor invent load
    Given admission leads 1 warm backend servers with 4 slots, an allowance of 4 and reports that lag <lag> ms
    When admission starts and ends 12 requests in groups of 4
    Then admission has granted 12 permits
    And the admission summary shows 4 free slots

    Examples:
      | lag |
      | 0   |
      | 900 |

  Scenario Outline: a new leader that <registration> its predecessor's permits causes <overloads> overloads
    # The load reports lag longer than the leader waits, so that only the registration shows the running requests.
    Given admission leads 2 cold backend servers with 8 slots, an allowance of 1 and reports that lag 5000 ms
    And admission has 2 requests running
    When admission is taken over by a new leader that <registration> the held permits
    And admission waits until the new leader grants
    And admission is asked by 2 VMs for 1 permits each
    Then admission has overloaded cold backend servers <overloads> times

    Examples:
      | registration      | overloads |
      | is told           | 0         |
      | is not told       | 2         |

  Scenario: a new leader sees a request that started late before it grants anything
    Given admission leads 1 cold backend servers with 8 slots, an allowance of 1 and reports that lag 1000 ms
    When admission has probes that take 100 ms
    And admission grants a permit, is taken over, and the request starts 900 ms later
    And admission waits 1100 ms
    And admission is asked by 2 VMs for 1 permits each
    And admission waits 500 ms
    Then admission has overloaded no cold backend server

  Scenario: a registered permit that never starts does not explain the request of a dead VM
    Given admission leads 1 cold backend servers with 8 slots and an allowance of 2
    And admission has 2 requests running
    When admission is taken over by a new leader that is told one permit, which never started
    And admission waits until the new leader grants
    And admission gets that permit back
    And admission is asked by 3 VMs for 1 permits each
    Then admission has granted 3 permits
    And admission has overloaded no cold backend server

  Scenario: a new leader refuses with the remaining time until former permits have ended
    Given admission leads 1 cold backend servers with 8 slots and an allowance of 1
    When admission is taken over by a new leader that is told the held permits
    And admission waits 1500 ms
    And admission is asked by 1 VMs for 1 permits each
    Then admission refused the last request with "settling" and 500 ms to wait

  Scenario: a leader that was paused past its lease grants nothing
    Given admission leads 1 cold backend servers with 8 slots and an allowance of 1
    And admission has 1 requests running
    And admission has a queued request
    When admission loses its lease during a pause and a running request ends
    Then admission refused the last request with "not_leader" and 250 ms to wait

  Scenario Outline: permits of a VM that <event> are kept while the backend server <case>
    Given admission leads 1 cold backend servers with 8 slots and an allowance of 1
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

  Scenario Outline: a release that arrives <order> frees one slot once
    Given admission leads 1 cold backend servers with 8 slots and an allowance of 2
    And admission has 2 requests running
    When admission gets a release <order>
    And admission is asked by 3 VMs for 1 permits each
    Then admission has granted <granted> permits
    And admission has overloaded no cold backend server

    Examples:
      | order                                        | granted |
      | twice                                        | 3       |
      | from another VM                              | 2       |
      | before the registration with a new leader    | 3       |

  Scenario Outline: a request that waits while the <object> is <change> is refused as <reason>
    Given admission leads 1 cold backend servers with 8 slots and an allowance of 1
    And admission has 1 requests running
    And admission has a queued request
    When the admission <object> is <change>
    Then admission refused the last request with "<reason>" and 250 ms to wait

    Examples:
      | object         | change                | reason            |
      | version        | withdrawn             | withdrawn         |
      | backend server | drained               | no_backend_server |
      | data centre    | taken out of service  | out_of_service    |

  Scenario Outline: a leader whose configuration is behind <case>
    Given admission leads 1 cold backend servers with 8 slots and an allowance of 1
    When admission is asked with a newer configuration that <case>
    Then admission <outcome> the last request

    Examples:
      | case                  | outcome |
      | arrives after 100 ms  | granted |
      | does not arrive       | refused |
      | withdraws the version | refused |

  Scenario Outline: <contenders> share the grants by weight
    Given admission leads 1 warm backend servers with 4 slots and an allowance of 4
    And admission has contracts of weight 1 for team-1 and 3 for team-2
    When admission gets 60 requests of each of "<contenders>" and grants 40
    Then admission granted about <first> of the first and <second> of the second

    Examples:
      | contenders                     | first | second |
      | team-1 normal and team-2 normal | 10    | 30     |
      | team-1 urgent and team-1 batch  | 37    | 3      |
      | team-1 normal and team-1 batch  | 32    | 8      |

  Scenario: within a team the earliest deadline goes first
    Given admission leads 1 cold backend servers with 8 slots and an allowance of 1
    And admission has 1 requests running
    When admission gets requests that may wait 9000, 3000 and 6000 ms
    Then admission grants them in the order 3000, 6000, 9000

  Scenario: what cannot start in time is refused at once with the time after which it could
    Given admission leads 1 warm backend servers with 4 slots and an allowance of 4
    And admission has learned that a request takes 1000 ms
    And admission has 4 requests running
    When admission gets 40 requests that may wait 2000 ms
    Then admission refused 32 of them at once
    And admission grants a request that comes back after the longest time it was told

  Scenario Outline: <granted> of <retries> retries are granted after <first> first attempts
    Given admission leads 1 warm backend servers with 300 slots and an allowance of 300
    When admission grants <first> first attempts and is asked for <retries> retries
    Then admission has granted <granted> retries and counted the others as "retry_budget"

    Examples:
      | first | retries | granted |
      | 200   | 50      | 20      |
      | 2     | 15      | 10      |

  Scenario Outline: <case> requests go to <servers> backend servers with <slots> slots
    Given admission leads 3 warm backend servers with <slots> slots and an allowance of <slots>
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

  Scenario Outline: a prefix index that hears of <events> expects <share> of the prompt in the cache
    Given admission has sent a prompt of 4 blocks to a backend server
    When admission hears of <events>
    Then admission expects <share> of the prompt in the cache

    Examples:
      | events                                        | share |
      | nothing                                       | 1     |
      | the removal of the longest prefix             | 0.75  |
      | a gap                                         | 0.5   |
      | a gap and the prefix again                    | 1     |
      | an older event with the removal of everything | 1     |

  Scenario: a quarantined request is refused
    Given admission leads 1 warm backend servers with 8 slots and an allowance of 1
    When admission gets a quarantined request
    Then admission refused the last request with "quarantined" and 600000 ms to wait

  Scenario: leaders that hear nothing of each other exceed a team limit by at most the data centres minus 1
    Given admission of 4 data centres that do not hear of each other and a team limit of 10
    When admission of each data centre is asked for 10 permits
    Then admission of all data centres has granted 12 permits

  Scenario: a team at its limit waits and does not hold up others
    Given admission leads 1 warm backend servers with 8 slots and an allowance of 8
    And admission has a limit of 2 for team-1
    When admission queues 3 requests of team-1 and 2 of team-2
    Then admission has granted 4 permits
    When admission waits 10000 ms
    Then admission refused request 3 of team-1 with "team_limit"

  Scenario: a full queue gives up the last request of the longest flow
    Given admission leads 1 cold backend servers with 8 slots and an allowance of 1
    And admission has a queue bound of 4
    And admission has 1 requests running
    When admission queues 4 requests of team-1 and 1 of team-2
    Then admission refused request 4 of team-1 with "queue_full"

  Scenario: no interleaving of grants, releases, deaths and takeovers overloads a cold backend server
    When admission runs random interleavings with seed 20261204
    Then admission has overloaded no cold backend server in any of them
