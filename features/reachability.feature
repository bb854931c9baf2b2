@reachability
Feature: A VM decides that it is cut off from a service, without a network

  # Guards against a VM that never learns of its partition, learns it later than 2 s, or does not return.
  Scenario: a partitioned VM is cut off within 2 s and returns within 2 s
    Given 9 VMs and the service chat with 4 servers
    And all VMs serve callers of chat
    When 3000 ms pass for the VMs
    And VM 1 loses chat
    And 2000 ms pass for the VMs
    Then VM 1 is cut off from chat
    And VM 2 is not cut off from chat
    And VM 2 knows that VM 1 is cut off from chat
    When VM 1 reaches chat
    And 2000 ms pass for the VMs
    Then VM 1 is not cut off from chat
    And VM 1 has returned 1 time

  # Guards against two failures that are not enough, and against connections of others that are taken for those of this VM.
  Scenario: two failed servers and another VM's later connection cut a VM off
    Given 2 VMs and the service chat with 4 servers
    And VM 1 loses chat
    When VM 1 fails at chat server 1
    And VM 1 fails at chat server 2
    And 500 ms pass for the VMs
    Then VM 1 is not cut off from chat
    When VM 2 connects to chat server 1
    And 500 ms pass for the VMs
    Then VM 1 is cut off from chat

  # Guards against a VM that takes a crashed backend server for a partition.
  Scenario: one failing server of several does not cut a VM off
    Given 2 VMs and the service chat with 4 servers
    And VM 2 serves callers of chat
    When VM 1 fails at chat server 1
    And VM 1 fails at chat server 1
    And VM 1 fails at chat server 1
    And 500 ms pass for the VMs
    Then VM 1 is not cut off from chat

  # Guards against VMs that take the crash of half of the backend servers for their own partition, and then find no VM to hand requests to.
  Scenario: a crash of half of the servers cuts no VM off
    Given 9 VMs and the service chat with 4 servers
    And all VMs serve callers of chat
    When 3000 ms pass for the VMs
    And all VMs reach chat except every second server
    Then no VM is cut off from chat in the next 5000 ms

  # Guards against a VM that takes its partition for the end of a service, because no other VM has callers for it.
  Scenario: a VM whose service has no callers elsewhere asks other VMs
    Given 9 VMs and the service chat with 4 servers
    And the VMs ask each other in doubt
    And VM 1 serves callers of chat
    When 3000 ms pass for the VMs
    And VM 1 loses chat
    And 2000 ms pass for the VMs
    Then VM 1 is cut off from chat

  Scenario: a VM whose service is gone for all hears so from the others
    Given 9 VMs and the service chat with 4 servers
    And the VMs ask each other in doubt
    And VM 1 serves callers of chat
    When 3000 ms pass for the VMs
    And all VMs lose chat
    Then no VM is cut off from chat in the next 8000 ms

  # Guards against a VM that stays connected for lack of a second backend server.
  Scenario: two failures at the only server of a service cut a VM off
    Given 2 VMs and the service chat with 1 server
    And VM 2 serves callers of chat
    And VM 1 loses chat
    When VM 1 fails at chat server 1
    And 1000 ms pass for the VMs
    Then VM 1 is not cut off from chat
    When VM 1 fails at chat server 1
    And 500 ms pass for the VMs
    Then VM 1 is cut off from chat
    When VM 1 reaches chat
    And 2000 ms pass for the VMs
    Then VM 1 is not cut off from chat

  # Guards against failures of different causes that are added up.
  Scenario: a success between the failures begins a new run
    Given 2 VMs and the service chat with 4 servers
    And VM 2 serves callers of chat
    When VM 1 fails at chat server 1
    And VM 1 connects to chat server 3
    And VM 1 fails at chat server 2
    And 500 ms pass for the VMs
    Then VM 1 is not cut off from chat

  Scenario: failures more than 5 s apart are no run
    Given 2 VMs and the service chat with 4 servers
    And VM 2 serves callers of chat
    And VM 1 loses chat
    When VM 1 fails at chat server 1
    And 5100 ms pass for the VMs
    And VM 1 fails at chat server 2
    And 500 ms pass for the VMs
    Then VM 1 is not cut off from chat
    When VM 1 fails at chat server 3
    And 500 ms pass for the VMs
    Then VM 1 is cut off from chat

  # Guards against failures of an outage long ago that cut a VM off as soon as others have callers again.
  Scenario: an old run of failures is no evidence
    Given 2 VMs and the service chat with 4 servers
    And VM 1 loses chat
    When VM 1 fails at chat server 1
    And VM 1 fails at chat server 2
    Then the failures of VM 1 at chat are in doubt
    When 5100 ms pass for the VMs
    Then the failures of VM 1 at chat are not in doubt
    When VM 2 serves callers of chat
    And 500 ms pass for the VMs
    Then VM 1 is not cut off from chat

  # Guards against VMs that hand requests to each other when the service is gone for all, on reports that look newer with each hop.
  Scenario Outline: <vms> VMs are not cut off when the service is gone, with <delay> ms of delay a hop
    Given <vms> VMs and the service chat with 4 servers, with <delay> ms of delay a hop
    And all VMs serve callers of chat
    When 3000 ms pass for the VMs
    And all VMs lose chat
    Then no VM is cut off from chat in the next 20000 ms
    And the reports are empty

    Examples:
      | vms | delay |
      | 2   | 1     |
      | 9   | 1     |
      | 9   | 100   |
      | 9   | 300   |

  # Guards against a VM that takes its own connections for those of others.
  Scenario: own connections that come back are no evidence
    Given 3 VMs and the service chat with 4 servers, with 300 ms of delay a hop
    When VM 1 connects to chat server 1
    And VM 1 fails at chat server 1
    And VM 1 fails at chat server 2
    Then no VM is cut off from chat in the next 20000 ms

  # Guards against the delay of a slow way in the time of a connection, when the same report comes by a faster one.
  Scenario: a copy by a faster way corrects the time of a connection, one by a slower way does not
    Given 2 VMs and the service chat with 4 servers
    When VM 1 gets the report {"reached":{"chat":[0,"vm-9",5]}}
    And 100 ms pass for the VMs
    And VM 1 gets the report {"reached":{"chat":[600,"vm-9",5]}}
    And VM 1 gets the report {"reached":{"chat":[50,"vm-9",5]}}
    Then VM 1 reports that chat was reached 600 ms ago
    When VM 1 gets the report {"reached":{"chat":[50,"vm-9",6]}}
    Then VM 1 reports that chat was reached 50 ms ago

  # Guards against a VM that returns without a probe, because it finds no backend server to probe.
  Scenario: a VM without probes stays cut off while others reach the service
    Given 2 VMs and the service chat with 4 servers
    And VM 1 is cut off from chat by callers of VM 2
    When 6000 ms pass for the VMs
    Then VM 1 is cut off from chat

  # Guards against probes of a VM that has stopped.
  Scenario: a VM that stops during a probe makes no further one
    Given 2 VMs and the service chat with 4 servers
    And all VMs serve callers of chat
    When VM 1 loses chat
    And VM 1 stops during its second probe
    And 3000 ms pass for the VMs
    Then VM 1 has probed 4 servers evenly, 2 to 2 times

  # Guards against a state that outlasts the service, in which requests would be handed to VMs that do not reach it either.
  Scenario: the state ends after 3 s without evidence and begins again with it
    Given 2 VMs and the service chat with 4 servers
    And all VMs serve callers of chat
    When VM 1 loses chat
    And 2000 ms pass for the VMs
    Then VM 1 is cut off from chat
    When the reports of VM 2 are lost
    And 2500 ms pass for the VMs
    Then VM 1 is cut off from chat
    When 1000 ms pass for the VMs
    Then VM 1 is not cut off from chat
    When the reports of VM 2 arrive
    And 1500 ms pass for the VMs
    Then VM 1 is cut off from chat

  # Guards against a state that ends by one connection through a bad link, or by probes of one backend server.
  Scenario Outline: probes <results> at <servers> servers leave a VM <state>
    Given 2 VMs and the service chat with <servers> servers
    And VM 1 is cut off from chat by callers of VM 2
    When VM 1 probes chat with the results <results>
    Then VM 1 is <state> chat

    Examples:
      | servers | results              | state            |
      | 4       | 1+                   | cut off from     |
      | 4       | 1+ 1+                | cut off from     |
      | 4       | 1+ 2+                | not cut off from |
      | 4       | 1+ 2- 3+             | cut off from     |
      | 4       | 1+ 2- 3+ 4+          | not cut off from |
      | 4       | 1+ 2- 1+ 2-          | cut off from     |
      | 4       | 1+ 2- 3+ 2- 4+       | cut off from     |
      | 4       | 1+ 2- 3+ 2- 2+ 2- 4+ | cut off from     |
      | 4       | 1+ 2- 3+ 2- 4+ 2- 1+ | not cut off from |
      | 1       | 1+                   | cut off from     |
      | 1       | 1+ 1+                | not cut off from |

  # Guards against requests that are risked to find out whether the service can be reached again, and against a connection that ends the state.
  Scenario: a connection for a request does not end the state
    Given 2 VMs and the service chat with 4 servers
    And VM 1 is cut off from chat by callers of VM 2
    When VM 1 connects to chat server 1
    And VM 1 connects to chat server 2
    Then VM 1 is cut off from chat

  # Guards against a backend server that is gone for good and keeps a VM cut off from the others.
  Scenario Outline: a VM returns although <dead> of <servers> servers stay dead
    Given 2 VMs and the service chat with <servers> servers
    And all VMs serve callers of chat
    When VM 1 loses chat
    And 2000 ms pass for the VMs
    Then VM 1 is cut off from chat
    When VM 1 reaches chat except every second server
    And <ms> ms pass for the VMs
    Then VM 1 has returned

    Examples:
      | dead | servers | ms    |
      | 1    | 2       | 5000  |
      | 2    | 4       | 8000  |
      | 5    | 10      | 18000 |

  # Guards against a link that comes and goes and makes the state flap.
  Scenario: each return within 5 s of the last doubles the probes, up to 8
    Given 2 VMs and the service chat with 4 servers
    And VM 2 serves callers of chat
    Then VM 1, cut off again and again, needs 2, 4, 8, 8 and 8 probes to return
    And after 6 s on a good link it needs 2 probes

  # Guards against a VM that is cut off from one service and stops to serve the others.
  Scenario: each service has a state of its own
    Given 2 VMs and the service chat with 4 servers
    And the service code with 4 servers
    And all VMs serve callers of chat
    And all VMs serve callers of code
    When VM 1 loses chat
    And 2000 ms pass for the VMs
    Then VM 1 is cut off from chat
    And VM 1 is not cut off from code
    And VM 2 knows that VM 1 is cut off from chat
    And VM 2 knows that VM 1 is not cut off from code

  # Guards against probes of services that are reached, of one backend server only, and at a rate that grows.
  Scenario: a VM probes one server after the other, only while it is cut off
    Given 2 VMs and the service chat with 4 servers
    And all VMs serve callers of chat
    When 3000 ms pass for the VMs
    Then VM 1 has probed no server
    When VM 1 loses chat
    And 11000 ms pass for the VMs
    Then VM 1 has probed 4 servers evenly, 14 to 28 times

  # Guards against VMs that stay excluded after they have returned, also when old reports go round.
  Scenario Outline: reports of cut-off VMs expire, with <delay> ms of delay a hop
    Given 9 VMs and the service chat with 4 servers, with <delay> ms of delay a hop
    And all VMs serve callers of chat
    When VM 1 loses chat
    And 4000 ms pass for the VMs
    Then VM 2 knows that VM 1 is cut off from chat
    When VM 1 reaches chat
    And 5500 ms pass for the VMs
    Then VM 2 knows that VM 1 is not cut off from chat
    And no report names VM 1 as cut off

    Examples:
      | delay |
      | 1     |
      | 300   |

  # Guards against reports that grow with the fleet.
  Scenario: a report names at most 64 VMs, the latest ones
    Given 2 VMs and the service chat with 4 servers
    When VM 1 learns of 100 cut-off VMs, 10 ms apart
    Then its report names the latest 64 of them

  # Guards against a report of another version or a faulty VM that stops the exchange or is passed on.
  Scenario Outline: the unreadable report <report> changes nothing
    Given 2 VMs and the service chat with 4 servers
    When VM 1 gets the report <report>
    Then VM 1 reports nothing

    Examples:
      | report                                          |
      | null                                            |
      | "text"                                          |
      | 7                                               |
      | []                                              |
      | {"reached":7,"cutOff":"text"}                   |
      | {"reached":{"chat":"now"}}                      |
      | {"reached":{"chat":[-1,"vm-9",1]}}              |
      | {"reached":{"chat":[4000,"vm-9",1]}}            |
      | {"reached":{"chat":["1","vm-9",1]}}             |
      | {"reached":{"chat":[1,9,1]}}                    |
      | {"reached":{"chat":[1,"vm-9"]}}                 |
      | {"reached":{"chat":[1,"vm-1",1]}}               |
      | {"cutOff":{"vm-9":[1,"chat",1]}}                |
      | {"cutOff":{"vm-9":[-1,["chat"],1]}}             |
      | {"cutOff":{"vm-9":[3000,["chat"],1]}}           |
      | {"cutOff":{"vm-9":[1,[7,{}],1]}}                |
      | {"cutOff":{"vm-9":[1,["chat"]]}}                |
      | {"cutOff":{"vm-1":[1,["chat"],1]}}              |

  # Guards against services in reports that fill the memory.
  Scenario: services that only reports name are forgotten
    Given 2 VMs and the service chat with 4 servers
    When VM 1 hears of 5000 services that nobody uses, one every 20 ms
    Then VM 1 keeps at most 2000 services

  # Guards against requests that wait although the decision is clear, or for longer than the decision takes.
  Scenario: the doubt ends after 1.5 s, with a success, or with the decision
    Given 2 VMs and the service chat with 4 servers
    And VM 1 loses chat
    Then the doubt of VM 1 about chat is 0 ms
    When VM 1 fails at chat server 1
    Then the doubt of VM 1 about chat is 1500 ms
    When 600 ms pass for the VMs
    And VM 1 fails at chat server 2
    Then the doubt of VM 1 about chat is 900 ms
    When 1000 ms pass for the VMs
    And VM 1 fails at chat server 2
    Then the doubt of VM 1 about chat is 0 ms
    When VM 1 connects to chat server 2
    And VM 1 fails at chat server 2
    Then the doubt of VM 1 about chat is 1500 ms
    When VM 1 connects to chat server 2
    Then the doubt of VM 1 about chat is 0 ms
    When VM 1 is cut off from chat by callers of VM 2
    Then the doubt of VM 1 about chat is 0 ms

  # Guards against a VM that gets the requests of all others in its data centre, and against needless traffic between data centres.
  Scenario Outline: of <local> VMs here and <away> elsewhere, <usable> and <usableAway> can take requests
    Given <local> VMs in the own data centre, of which <usable> others can take requests, and <away> VMs elsewhere, of which <usableAway> can
    When 3000 requests are handed on
    Then they go to <where>

    Examples:
      | local | usable | away | usableAway | where                       |
      | 9     | 8      | 18   | 18         | 8 VMs here, evenly          |
      | 9     | 3      | 18   | 18         | 3 VMs here, evenly          |
      | 9     | 2      | 18   | 18         | 20 VMs anywhere, evenly     |
      | 9     | 0      | 18   | 5          | 5 VMs anywhere, evenly      |
      | 1     | 0      | 2    | 2          | 2 VMs anywhere, evenly      |
      | 9     | 1      | 0    | 0          | 1 VMs anywhere, evenly      |
      | 9     | 0      | 18   | 0          | nobody                      |

  # Guards against callers that pass for a VM, and statements that are used for another request or at another VM.
  Scenario: a statement about a request is read as it was made
    Then a statement with all fields, and one with the required ones, are read as they were made
    And one that was made with the previous key is read

  Scenario Outline: a statement <fault> is refused
    Then a statement <fault> is refused

    Examples:
      | fault                               |
      | with a changed field                |
      | for another receiver                |
      | for another request id              |
      | for another method                  |
      | for another target                  |
      | with an unknown key                 |
      | without keys at the receiver        |
      | with an HMAC that is cut short      |
      | without an HMAC                     |
      | with a further part                 |
      | of another format                   |
      | with negative time left             |
      | that is no JSON                     |
      | that is empty                       |
      | that is garbage                     |
      | that is too long                    |

  # Guards against a partition that refuses connections and puts the prompts of all streams of a VM into quarantine.
  Scenario Outline: streams that are reset <when> put <what> into quarantine
    Given a VM with streams of one prompt part at each of <servers> servers
    When all streams are reset and <when>
    Then <what> is in quarantine

    Examples:
      | servers | when                                            | what     |
      | 4       | no connection is refused                        | no part  |
      | 4       | all connections are refused                     | no part  |
      | 4       | all connections are refused until the control   | no part  |
      | 4       | all connections are refused again and again     | no part  |
      | 4       | those to 3 servers are refused one by one       | the part |
      | 2       | those to 2 servers are refused one by one       | the part |
      | 1       | all connections are refused again and again     | the part |

  # Guards against a connection for each stream that a partition breaks.
  Scenario: checks that run at once share a control connection
    Given a VM with streams of one prompt part at each of 4 servers
    When 50 streams of the first server are reset and it alone refuses connections
    Then there is 1 control connection

  # Guards against a crash that is not recorded because the first server that is asked has crashed, too, and against a search at all servers.
  Scenario Outline: <down> of <servers> servers that refuse connections at once are <verdict>
    Given a VM with streams of one prompt part at each of <servers> servers
    When the streams of <down> servers are reset and these refuse connections
    Then <verdict> is recorded, with at most 3 control connections, one at a time

    Examples:
      | down | servers | verdict    |
      | 3    | 4       | each crash |
      | 12   | 12      | no crash   |

  # Guards against a partition of a VM that stops a roll-out, or that takes load from backend servers that are sound.
  Scenario Outline: streams <events> that end as <end> <pause> ms after <failures> failed connections count against <whom>
    Given 2 VMs and the service chat with 4 servers
    And a version of chat under trial that usually answers in 100 ms
    And VM 1 loses chat
    When <failures> connections of VM 1 fail, and <pause> ms pass
    And 5 streams <events> end as <end> after 2 s
    Then they count against <whom>

    Examples:
      | failures | pause | events           | end       | whom                               |
      | 2        | 1000  | without an event | failed    | nobody                             |
      | 2        | 1000  | with events      | failed    | nobody                             |
      | 2        | 1000  | without an event | deadline  | nobody                             |
      | 2        | 1000  | without an event | abandoned | nobody                             |
      | 1        | 1000  | without an event | failed    | the version and the backend server |
      | 2        | 3100  | without an event | failed    | the version and the backend server |

  # Guards against a VM that counts nothing any more.
  Scenario: a stream that completes while others fail counts
    Given 2 VMs and the service chat with 4 servers
    And a version of chat under trial that usually answers in 100 ms
    And VM 1 loses chat
    When 2 connections of VM 1 fail, and 1000 ms pass
    And 5 streams with events end as completed after 2 s
    Then 5 streams count as served

  # Guards against a caller whose header hides that of the VM, so that the attempts made and the events sent before are forgotten.
  Scenario Outline: a request with <headers> of the caller is handed on with the statement of the VM
    When a VM hands on a request with <headers> of the caller
    Then the receiver reads the statement, and sees <left> of the caller

    Examples:
      | headers                                                | left                                        |
      | X-Order: 1                                             | X-Order: 1                                  |
      | Lacewingstage-Forwarded: forged; X-Order: 1            | Lacewingstage-Forwarded: forged; X-Order: 1 |
      | Connection: X-A; X-A: 1; X-Order: 1                    | X-Order: 1                                  |
      | Connection: close; Connection: X-A; X-A: 1; X-Order: 1 | X-Order: 1                                  |
