@feed-relay
Feature: Relays between the store and the VMs

  # Guards against one store call per VM for each change.
  Scenario: only the relays call the store
    Given 8 VMs that follow a kind with the objects a, b
    When 2000 ms pass in the fleet
    Then 2 VMs have called the store in the last 1000 ms
    And every VM knows a, b

  Scenario: stored and removed objects reach every VM
    Given 8 VMs that follow a kind with the objects a, b
    When c is stored and a is removed
    Then every VM knows b, c within 600 ms

  Scenario Outline: a change reaches the other VMs after <fault>
    Given 8 VMs that follow a kind with the objects a, b
    When <fault>
    And c is stored and a is removed
    Then every other VM knows b, c within 1900 ms

    Examples:
      | fault                                   |
      | a relay dies                            |
      | a relay does not answer any more        |
      | a relay is cut off from the store       |
      | both relays are cut off from the store  |

  # Guards against waiting for one silent relay after the other while the store answers.
  Scenario: a change reaches the other VMs when all relays of a large fleet are silent
    Given 89 VMs that follow a kind with the objects a, b
    When all relays do not answer any more
    And 800 ms pass in the fleet
    And c is stored and a is removed
    Then every other VM knows b, c within 2500 ms

  # Guards against withdrawn keys that work for too long because a relayed confirmation got a later time than the store's.
  Scenario: a relayed confirmation is never newer than the store's
    Given 8 VMs that follow a kind with the objects a, b
    When the store is away for 1500 ms
    Then no VM has a confirmation from within the outage
    And no confirmation is newer than the latest call that the store answered

  Scenario: every VM is notified once of the recovery of the store
    Given 8 VMs that follow a kind with the objects a, b
    When the store is away for 3000 ms
    And 1500 ms pass in the fleet
    Then every VM has been notified once of the recovery of the store

  # Guards against followers that all change to the store, because a root that it refuses keeps back what the other root tells it.
  Scenario: a root that the store refuses passes on the copies of the other root
    Given 9 VMs that follow a kind with the objects a, b
    When a relay is cut off from the store
    And 1500 ms pass in the fleet
    And c is stored and a is removed
    And 1500 ms pass in the fleet
    Then the relay that is cut off answers polls with b, c

  # Guards against feeds that wait for the turn of one kind, whose calls still fail.
  Scenario: changes reach every VM after an outage, while lists of another kind fail
    Given 8 VMs that follow a kind with the objects a, b
    When the lists of the VMs fail from now on
    And the store is away for 1500 ms
    And c is stored and a is removed
    Then every VM knows b, c within 1900 ms

  Scenario: a large object is read from the store and not from the relay
    Given 8 VMs that follow a kind with the objects a, b
    When an object large of 20000 bytes is stored
    Then every VM knows a, b, large within 800 ms
    And no answer of a relay was larger than 2000 bytes

  # Guards against VMs that ignore a restored store, because its revisions are lower than those that they have read.
  Scenario Outline: changes reach all of <vms> VMs after the store was restored from an older copy
    Given <vms> VMs that follow a kind with the objects a, b
    When the store is restored to before <lost>
    And the objects e are stored
    Then every VM knows <known>, e within 1500 ms
    And the store was listed at most <lists> times since the restore

    Examples:
      | vms | lost                         | known      | lists |
      | 8   | c is stored                  | a, b, c    | 4     |
      | 8   | c, d are stored              | a, b, c, d | 4     |
      | 89  | c, d are stored              | a, b, c, d | 12    |

  # Guards against taking what an older copy lacks or has for what its writers want.
  Scenario Outline: what a restored store <what> is known <known> until it is written again, and <later> if it is not
    Given 8 VMs that follow a kind with the objects a, b
    When the store is restored to before <lost>
    And 1000 ms pass in the fleet
    Then every VM knows <known>
    When 4500 ms pass in the fleet
    Then every VM knows <later>

    Examples:
      | what     | lost         | known   | later |
      | lacks    | c is stored  | a, b, c | a, b  |
      | has back | a is removed | b       | a, b  |

  # Guards against changes that come late, because they were made between a restore and the first list.
  Scenario: a change that is made before a VM has listed the restored store is known at once
    Given 8 VMs that follow a kind with the objects a, b
    When the store is restored to before c is stored and a is changed at once
    Then every VM has got the change of a

  Scenario: what is written again after a restore stays
    Given 8 VMs that follow a kind with the objects a, b
    When the store is restored to before c is stored
    And the objects c are stored
    And 5500 ms pass in the fleet
    Then every VM knows a, b, c

  Scenario: a store that is restored twice in a row loses no VM
    Given 8 VMs that follow a kind with the objects a, b
    When the store is restored to before c, d are stored
    And the store is restored to before f is stored
    And the objects e are stored
    Then every VM knows a, b, c, d, e, f within 1500 ms
    When 6000 ms pass in the fleet
    Then every VM knows a, b, e

  Scenario: a VM that joins after a restore knows what the store has
    Given 8 VMs that follow a kind with the objects a, b
    When the store is restored to before c is stored
    And another VM joins
    And 5500 ms pass in the fleet
    Then every VM knows a, b

  Scenario: a VM that joins late gets all objects from a relay
    Given 8 VMs that follow a kind with the objects a, b
    When c is stored and a is removed
    And another VM joins
    Then every VM knows b, c within 1500 ms

  # Guards against calls to the store and copies between data centres that grow with the number of VMs.
  Scenario Outline: of <vms> VMs in 6 data centres, <roots> follow the store and <relays> pass it on
    Given <vms> VMs that choose their relays
    Then <roots> VMs follow the store and <relays> relays poll those, and none is asked by more than <most> VMs
    And every VM of a large fleet that is no relay polls one in its own data centre first

    Examples:
      | vms | roots | relays | most |
      | 1   | 1     | 0      | 0    |
      | 3   | 2     | 0      | 1    |
      | 9   | 2     | 0      | 7    |
      | 50  | 2     | 0      | 40   |
      | 89  | 2     | 6      | 20   |
      | 195 | 2     | 12     | 30   |
      | 300 | 2     | 18     | 35   |
      | 340 | 2     | 18     | 35   |

  # Guards against polls that grow with the confirmations of the store.
  Scenario: a relay answers few polls of a VM, however often the store confirms its copies
    Given 8 VMs that follow a kind with the objects a, b, which the store confirms every 50 ms
    When 2000 ms pass in the fleet
    Then no VM has polled more often than every 350 ms since its start

  # Guards against a start at which each VM follows the store until it has met the others.
  Scenario Outline: <vms> VMs that start together read little from the store
    Given <vms> VMs that start together with the objects a, b
    When 4000 ms pass in the fleet
    Then every VM knows a, b
    And the VMs have made at most 4 calls to the store each, and 250 for the whole fleet besides

    Examples:
      | vms |
      | 9   |
      | 89  |

  # Guards against lists that VMs repeat at a restart, beside the one of each kind.
  Scenario Outline: <vms> VMs that restart together list each kind about once
    Given <vms> VMs that restart together with the objects a, b
    When 4000 ms pass in the fleet
    Then the VMs have made at most 6 calls to the store each, and 200 for the whole fleet besides

    Examples:
      | vms |
      | 89  |
      | 195 |

  # Guards against steps that call the store more often in one phase than their role needs, at any size of the fleet.
  # In 4 s of an outage a VM has 12 turns to call, and lists and follows six kinds once afterwards.
  # In a calm time only the roots call; the part of each VM allows for a few polls that time out on a busy machine.
  Scenario Outline: <vms> VMs call the store little in each phase of a day
    When <vms> VMs go through the phases of a day
    Then the calls to the store in each phase are at most
      | phase           | each VM | besides |
      | start           | 4       | 250     |
      | calm            | 0.5     | 40      |
      | outage          | 24      | 100     |
      | a third refused | 20      | 200     |
      | power loss      | 7       | 200     |

    Examples:
      | vms |
      | 9   |
      | 89  |
      | 195 |

  # Guards against a restart that waits for relays which start anew themselves or do not answer.
  Scenario Outline: <vms> VMs that restart together while <fault> know all objects <ms> ms after the last one started
    Given <vms> VMs that restart together while <fault>, with the objects a, b
    Then every VM knows a, b within <ms> ms

    Examples:
      | vms | fault                             | ms  |
      | 8   | no link answers                   | 100 |
      | 89  | no link answers                   | 100 |
      | 195 | no link answers                   | 200 |
      | 9   | the store refuses a third of them | 900 |
      | 89  | the store refuses a third of them | 900 |

  # Guards against keys that are refused because a confirmation grew old on its way through two relays.
  Scenario Outline: confirmations reach all of <vms> VMs within one poll of the store
    Given <vms> VMs that follow a kind with the objects a, b
    When 1500 ms pass in the fleet
    Then no VM's confirmation gets older than 1000 ms within 2000 ms

    Examples:
      | vms |
      | 8   |
      | 89  |

  # Guards against withdrawn keys that work for too long, because a process was paused between an answer and its use.
  Scenario Outline: a confirmation from before the pause of a <role>, whose clock <clock> meanwhile, is not taken for a newer one
    When a <role> is paused for 5000 ms at each of its readings of the clock in 4000 ms, which <clock> meanwhile
    Then no VM takes a confirmation of the store for newer than the latest call behind it that the store has answered

    Examples:
      | role              | clock |
      | relay             | runs  |
      | relay             | stops |
      | VM that polls it  | runs  |
      | VM that polls it  | stops |

  # Guards against changes that never reach the followers of a relay, because it answers between two changes of one revision.
  Scenario: a relay passes on all changes that it gets at once
    Given a relay that follows another VM
    When its source answers with the removal of a and the objects b, c at once, while a follower's poll is held
    Then the follower has got the changes of a, b, c with this poll and the next one

  # Guards against a change that a follower never gets, because the list that contained it is of an earlier revision.
  Scenario Outline: a follower with the revision of a list gets the objects in it that are newer, if the list is <which>
    Given a relay's copy whose <which> list of revision 9 holds an object at 12
    When the copy reads the change of that object at 12
    Then a follower that has revision 9 gets the object at 12

    Examples:
      | which |
      | first |
      | later |
