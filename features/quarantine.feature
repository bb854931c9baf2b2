Feature: Quarantine of requests that crash backend servers

  Scenario Outline: after <crashes>, the state of crasher is <crasher> and that of other is <other> on all VMs, with the object API <api>
    Given a quarantine on 3 VMs with the object API <api>
    When the quarantine gets the crashes <crashes>
    Then the quarantine state of crasher is <crasher> on all VMs
    And the quarantine state of other is <other> on all VMs

    Examples:
      | crashes                                                  | api  | crasher     | other   |
      | crasher@a1 by vm-1                                       | up   | suspect     | none    |
      | crasher@a1 by vm-1, crasher@b1 by vm-2                   | up   | quarantined | none    |
      | crasher@a1 by vm-1, crasher@b1 by vm-2                   | down | quarantined | none    |
      | crasher@a1 by vm-1, crasher@a1 by vm-2                   | up   | suspect     | none    |
      | crasher@a1 by vm-1, crasher@a2 by vm-1                   | up   | quarantined | none    |
      | crasher@a1 by vm-1, other@a1 by vm-2, crasher@b1 by vm-1 | up   | quarantined | suspect |
      | crasher@a1 by vm-1, other@a1 by vm-2, crasher@b1 by vm-1 | down | quarantined | suspect |

  Scenario: a quarantine expires on all VMs and its object is deleted
    Given a quarantine on 3 VMs with the object API up
    When the quarantine gets the crashes crasher@a1 by vm-1, crasher@b1 by vm-2
    And the quarantine runs for 590000 ms
    Then the quarantine state of crasher is quarantined on all VMs
    When the quarantine runs for 50000 ms
    Then the quarantine state of crasher is none on all VMs
    And the quarantine has 0 stored objects

  Scenario: crashes reported during an object API outage are stored afterwards and read by a VM that starts later
    Given a quarantine on 3 VMs with the object API down
    When the quarantine gets the crashes crasher@a1 by vm-1, crasher@b1 by vm-2
    And the object API of the quarantine is available again
    And the quarantine runs for 31000 ms
    And the quarantine starts on a new VM without peer notifications
    Then the quarantine state of crasher is quarantined on all VMs

  Scenario: a VM that missed a notification has the correct crash count after the next one
    Given a quarantine on 3 VMs with the object API down
    When vm-3 is disconnected from the other quarantine VMs
    And the quarantine gets the crashes crasher@a1 by vm-1
    And vm-3 is reconnected to the other quarantine VMs
    And the quarantine gets the crashes crasher@b1 by vm-1
    Then the quarantine state of crasher is quarantined on all VMs

  Scenario: a lifted quarantine ends on all VMs, even if the notification was lost, and late reports do not renew it
    Given a quarantine on 3 VMs with the object API up
    When the quarantine gets the crashes crasher@a1 by vm-1, crasher@b1 by vm-2
    And the quarantine runs for 31000 ms
    And vm-3 is disconnected from the other quarantine VMs
    And an operator lifts the quarantine of crasher on vm-1
    And vm-3 is reconnected to the other quarantine VMs
    And the quarantine runs for 31000 ms
    Then the quarantine state of crasher is none on all VMs
    When the quarantine gets the crashes crasher@a1 by vm-2, crasher@b1 by vm-2
    Then the quarantine state of crasher is none on all VMs

  Scenario: the number of quarantine entries is limited and suspects are evicted first
    Given a quarantine on 1 VM with the object API down
    When the quarantine gets the crashes crasher@a1 by vm-1, crasher@b1 by vm-1
    And the quarantine gets 150 suspects by vm-1 with a limit of 100 fingerprints
    Then the quarantine state of crasher is quarantined on all VMs
    And the quarantine holds 99 of the suspects

  Scenario Outline: a quarantine report that is <kind> is rejected
    Given a quarantine on 2 VMs with the object API up
    When vm-1 receives a quarantine report that is <kind>
    Then the quarantine report is counted as bad input

    Examples:
      | kind                  |
      | {}                    |
      | {"crashes":[]}        |
      | {"lift":7}            |
      | {"crashes":[{"fingerprint":"x"}],"remainingMs":1} |

  Scenario: crashes by one message that different VMs have seen are known on all VMs, and so is the end of its quarantine
    Given a quarantine on 3 VMs with the object API down
    When the quarantine gets a crash by the message deadly at a1 by vm-1
    Then the message deadly is accepted on all quarantine VMs
    When the quarantine gets a crash by the message deadly at b1 by vm-2
    Then the message deadly is refused on all quarantine VMs
    When vm-3 gets the first token of an answer to the message deadly
    Then the message deadly is accepted on all quarantine VMs

  # Guards against a deadly prompt part of which each VM has seen too few crashes.
  Scenario Outline: a prompt part that crashes backend servers is refused on all of <vms> VMs, and its sound companions are not
    Given <vms> VMs that exchange evidence about prompt parts
    When each of these crashes is seen by another VM: a,b,deadly,1@s1 a,b,deadly,2@s2
    And the VMs exchange evidence for 2000 ms
    Then the prompt a,b,deadly,3 is refused on all VMs
    And the prompt a,b,4 is accepted on all VMs
    When one VM gets the first event of the prompt a,b,4
    And the VMs exchange evidence for 2000 ms
    Then the prompt a,c,deadly,5 is refused on all VMs
    And the prompt a,b,6 is accepted on all VMs

    Examples:
      | vms |
      | 9   |
      | 89  |

  Scenario Outline: after the crashes <crashes>, the prompt <prompt> is <state>
    Given 9 VMs that exchange evidence about prompt parts
    When each of these crashes is seen by another VM: <crashes>
    And the VMs exchange evidence for 2000 ms
    Then the prompt <prompt> is <state> on all VMs

    Examples:
      | crashes                                                  | prompt       | state    |
      | a,deadly,1@s1 a,deadly,1@s1                              | a,deadly,2   | accepted |
      | a,deadly,1@s1 a,deadly,2@s2                              | deadly,b,3   | accepted |
      | a,deadly,1@s1 b,deadly,2@s2                              | deadly,c,3   | refused  |
      | a,deadly,1@s1 a,deadly,1@s2 b,deadly,2@s3                | c,deadly,3   | refused  |
      | a,d,1@s1 a,d,1@s2 b,d,2@s3 a,rare,9@s1 a,rare,9@s2       | a,rare,9     | accepted |
      | a,deadly,1@s1 b,deadly,2@s2 c,deadly,3@s3@6000           | d,deadly,4   | refused  |
      | 1@s1 1@s2                                                | 1            | accepted |

  Scenario: the quarantine of a prompt part ends when a response to it gets past its first event
    Given 9 VMs that exchange evidence about prompt parts
    When each of these crashes is seen by another VM: a,part,1@s1 a,part,2@s2
    And the VMs exchange evidence for 2000 ms
    Then the prompt a,part,3 is refused on all VMs
    When one VM gets the first event of the prompt a,part,3
    And the VMs exchange evidence for 2000 ms
    Then the prompt a,part,4 is accepted on all VMs

  Scenario: the quarantine of a prompt part ends ten minutes after the last crash
    Given 9 VMs that exchange evidence about prompt parts
    When each of these crashes is seen by another VM: a,deadly,1@s1 b,deadly,2@s2 c,deadly,3@s3@6000
    And the VMs exchange evidence for 590000 ms
    Then the prompt c,deadly,3 is refused on all VMs
    When the VMs exchange evidence for 20000 ms
    Then the prompt c,deadly,3 is accepted on all VMs
    And each VM admits 3 of 3 requests with the prompt c,deadly,3

  # Guards against a deadly request of which each VM has seen too few crashes, and against the loss of sound ones that were open beside it.
  Scenario Outline: a request that crashes backend servers is refused on all of <vms> VMs, and one that was open beside it is not
    Given <vms> VMs that exchange evidence about prompt parts
    When each of these crashes with open requests is seen by another VM: deadly@s1 deadly@s2 sound@s1 sound@s2
    And the VMs exchange evidence for 2000 ms
    Then the request deadly is refused on all VMs
    When the VMs exchange evidence for 8000 ms
    Then the request deadly is accepted on all VMs
    And the request sound is accepted on all VMs
    When each of these crashes with open requests is seen by another VM: deadly@s3
    And the VMs exchange evidence for 60000 ms
    Then the request deadly is refused on all VMs
    And the request sound is accepted on all VMs

    Examples:
      | vms |
      | 9   |
      | 89  |

  Scenario Outline: after crashes with the open requests <crashes>, the request <request> is <state>
    Given 9 VMs that exchange evidence about prompt parts
    When each of these crashes with open requests is seen by another VM: <crashes>
    And the VMs exchange evidence for <ms> ms
    Then the request <request> is <state> on all VMs

    Examples:
      | crashes                                  | ms     | request | state    |
      | deadly@s1 deadly@s1                      | 2000   | deadly  | accepted |
      | deadly@s1 deadly@s2 other@s1             | 2000   | other   | accepted |
      | deadly@s1 deadly@s2                      | 2000   | deadly  | refused  |
      | deadly@s1 deadly@s2                      | 10000  | deadly  | accepted |
      | deadly@s1 deadly@s2 deadly@s3@6000       | 590000 | deadly  | refused  |
      | deadly@s1 deadly@s2 deadly@s3@6000       | 601000 | deadly  | accepted |
      | deadly@s1 deadly@s2 deadly@s3            | 2000   | deadly  | refused  |
      | open@s1 open@s2 open@s3                  | 11000  | open    | accepted |
      | deadly@s1 deadly@s1@3000                 | 2000   | deadly  | refused  |
      | deadly@s1 deadly@s1@3000 deadly@s1@6000  | 590000 | deadly  | refused  |
      | a@s1 a@s2 deadly@s1 deadly@s2 deadly@s3  | 2000   | a       | accepted |

  # Guards against all VMs that accept a suspect again at the same moment, and each lose a backend server to it.
  Scenario: VMs accept a suspect again one after the other, and all refuse it after the first crash
    Given 9 VMs that exchange evidence about prompt parts
    When each of these crashes with open requests is seen by another VM: deadly@s1 deadly@s2
    And the VMs exchange evidence for 5100 ms
    Then the request deadly is accepted on 1 VM
    When the VMs exchange evidence for 500 ms
    Then the request deadly is accepted on 2 VMs
    When each of these crashes with open requests is seen by another VM: deadly@s3
    And the VMs exchange evidence for 300 ms
    Then the request deadly is refused on all VMs

  Scenario: a response to a request ends its quarantine
    Given 9 VMs that exchange evidence about prompt parts
    When each of these crashes with open requests is seen by another VM: common@s1 common@s2 common@s3
    And the VMs exchange evidence for 2000 ms
    Then the request common is refused on all VMs
    When one VM gets a response to the request common
    And the VMs exchange evidence for 2000 ms
    Then the request common is accepted on all VMs

  # Guards against the refusal of a sound request that many callers send word for word, because it was open at crashes of another one.
  Scenario Outline: a request that got a response <ms> ms before crashes with it is <state>
    Given 9 VMs that exchange evidence about prompt parts
    When one VM gets a response to the request common
    And the VMs exchange evidence for <ms> ms
    And each of these crashes with open requests is seen by another VM: common@s1 common@s2 common@s3
    And the VMs exchange evidence for 600 ms
    Then the request common is <state> on all VMs

    Examples:
      | ms   | state    |
      | 300  | accepted |
      | 1900 | accepted |
      | 2100 | refused  |

  # Guards against memory that grows with the requests.
  Scenario: recent responses are kept for 2000 parts and 4 s at most
    Given recent responses to 2001 parts of requests
    Then the responses to the latest 2000 parts are known
    When 4100 ms pass and there is a response to one more part
    Then the responses to the latest 1 parts are known

  # Guards against a prompt part that turns deadly and is spared for longer than all VMs may take to know of it, because it was sound before.
  Scenario: a part that engines crash on is refused 3 s later, whatever responses came before
    Given 9 VMs that exchange evidence about prompt parts
    When one VM gets the first event of the prompt a,part,3
    And the VMs exchange evidence for 300 ms
    And each of these crashes is seen by another VM: a,part,1@s1 b,part,2@s2
    And the VMs exchange evidence for 3000 ms
    Then the prompt c,part,4 is refused on all VMs

  # Guards against the refusal of a route for ten minutes, because two engines crashed for another reason.
  Scenario Outline: after two crashes with a part that <others> have in common, it is <state> <ms> ms later
    Given 9 VMs that exchange evidence about prompt parts
    When one VM gets the first event of the prompt common,2
    And the VMs exchange evidence for 300 ms
    And each of these crashes is seen by another VM: <crashes>
    And the VMs exchange evidence for <ms> ms
    Then the prompt <prompt> is <state> on all VMs

    Examples:
      | others         | crashes                   | prompt        | ms    | state    |
      | sound requests | common,a,1@s1 common,b,2@s2 | common,c,3  | 600   | accepted |
      | no others      | rare,a,1@s1 rare,b,2@s2     | rare,c,3    | 600   | refused  |
      | no others      | rare,a,1@s1 rare,b,2@s2     | rare,c,3    | 10500 | accepted |
      | no others      | rare,a,1@s1 rare,b,2@s2@2000 | rare,c,3   | 10500 | accepted |

  # Guards against blame on sound requests that an engine only held while it ran the one that crashed it.
  Scenario: of the requests that were open at a crash, those whose response had begun are suspected
    Given 9 VMs that exchange evidence about prompt parts
    When each of these crashes is seen by another VM: a,deadly,1@s1 b,deadly,2@s2
    And each of these crashes with open requests is seen by another VM: sound@s1 sound@s2
    And the VMs exchange evidence for 2000 ms
    Then the request sound is accepted on all VMs
    And the prompt c,deadly,3 is refused on all VMs

  # Guards against the refusal of a part that all prompts share, because it was in all requests that a deadly part crashed.
  Scenario: of two parts with the same crashes, the one without a response before them is suspected
    Given 9 VMs that exchange evidence about prompt parts
    When one VM gets the first event of the prompt common,1
    And the VMs exchange evidence for 300 ms
    And each of these crashes is seen by another VM: common,deadly,2@s1 common,deadly,3@s2
    And the VMs exchange evidence for 2600 ms
    Then the prompt common,4 is accepted on all VMs
    And the prompt a,deadly,5 is refused on all VMs

  # Guards against VMs that try a part after each other so fast that all have lost a backend server before they know of the first.
  Scenario: after many crashes of one moment the trials of the VMs are further apart
    Given 9 VMs that exchange evidence about prompt parts
    When each of these crashes with open requests is seen by another VM: deadly@s1 deadly@s2 deadly@s3 deadly@s4 deadly@s5 deadly@s6 deadly@s7
    And the VMs exchange evidence for 5100 ms
    Then the request deadly is accepted on 1 VM
    When the VMs exchange evidence for 1500 ms
    Then the request deadly is accepted on 1 VM
    When the VMs exchange evidence for 1000 ms
    Then the request deadly is accepted on 2 VMs

  # Guards against reports that grow with all streams of a crashed backend server for as long as new evidence is passed on.
  Scenario: a crash whose parts all had a later response is not reported any more
    Given 9 VMs that exchange evidence about prompt parts
    When each of these crashes is seen by another VM: common,1@s1
    Then 1 VM reports a crash
    When the VMs exchange evidence for 600 ms
    And one VM gets the first event of the prompt common,2
    And the VMs exchange evidence for 600 ms
    Then 0 VMs report a crash

  # Guards against a trial that is given up because of what it is tried for, and one that goes on after a crash.
  Scenario: a trial in spite of a certain quarantine runs until its own crash
    Given crashes by the request of a caller 0, 1 and 6000 ms after the first
    When 61000 ms pass and the request comes again
    Then the request runs, also when it is asked again
    And it is not withdrawn at a crash with other requests
    But it is refused after its own crash

  Scenario: a trial after the first quarantine is refused if a crash is reported before it is sent
    Given crashes by the request of a caller 0, 1 and 2 ms after the first
    When 6000 ms pass and the request comes again
    Then the request runs, also when it is asked again
    But it is refused after a crash that another VM reports

  # Guards against a deadly part that many requests bring back at once when its first quarantine ends.
  Scenario: a suspected part is tried with one request at a time
    Given 9 VMs that exchange evidence about prompt parts
    When each of these crashes is seen by another VM: a,deadly,1@s1 b,deadly,2@s2
    And the VMs exchange evidence for 11000 ms
    Then each VM admits 1 of 3 requests with the prompt c,deadly,3
    When one VM gets the first event of the prompt c,deadly,4
    And the VMs exchange evidence for 600 ms
    Then each VM admits 3 of 3 requests with the prompt c,deadly,3

  # Guards against a wrong quarantine that nothing can end, and against trials that cost more backend servers than the users allow.
  Scenario: a certain quarantine of a part is tried once, by one VM
    Given 9 VMs that exchange evidence about prompt parts
    When each of these crashes is seen by another VM: a,deadly,1@s1 b,deadly,2@s2 c,deadly,3@s3@6000
    And the VMs exchange evidence for 50000 ms
    Then 0 VMs admit a request with the prompt c,deadly,3
    When the VMs exchange evidence for 11000 ms
    Then 1 VM admits a request with the prompt c,deadly,3
    And 0 VMs admit a request with the prompt c,deadly,3
    When each of these crashes is seen by another VM: c,deadly,4@s4
    And the VMs exchange evidence for 61000 ms
    Then 0 VMs admit a request with the prompt c,deadly,3

  # Guards against a VM that starts after a quarantine has ended and takes it up from the store, because the VM that wrote it is gone.
  Scenario: a stored quarantine that ends is deleted by one of the VMs that know it
    When 9 VMs have read a stored quarantine whose writer is gone, and it ends on all of them
    Then 1 of them deletes it from the store

  # Guards against quarantines that refuse sound requests, or that never stop deadly ones, whatever the moment of the head of a stream.
  Scenario Outline: seeded fleets <seeds> with <trouble> stop what is deadly and serve the rest when heads come <heads>
    When the seeded fleets <seeds> have <trouble> and heads that come <heads>
    Then each of them stops the deadly requests and serves the sound ones

    Examples:
      | seeds    | trouble                            | heads                |
      | 1 to 12  | a deadly part                      | early                |
      | 1 to 12  | a deadly part in a burst           | early                |
      | 1 to 12  | a sound part that turns deadly     | early                |
      | 36 to 47 | other crashes                      | early                |
      | 1 to 12  | a deadly part beside other crashes | early                |
      | 1 to 12  | resets                             | early                |
      | 1 to 12  | a deadly part                      | with the first event |
      | 1 to 12  | a deadly part in a burst           | with the first event |
      | 1 to 12  | a sound part that turns deadly     | with the first event |
      | 36 to 47 | other crashes                      | with the first event |
      | 1 to 12  | a deadly part beside other crashes | with the first event |
      | 1 to 12  | a deadly part                      | before a crash       |
      | 1 to 12  | a sound part that turns deadly     | before a crash       |
      | 1 to 12  | a deadly part beside other crashes | before a crash       |
