@object-feed
Feature: Feeds of the store

  Scenario: stored and removed objects reach the feed
    Given a feed of a kind with the objects a
    When the objects b, c are stored and a is removed
    Then the feed knows b, c

  Scenario: a change that an empty poll missed is found after the history is dropped
    Given a feed of a kind with the objects a
    When polls return no changes while b is stored
    And the history is dropped
    Then the feed knows a, b

  Scenario: the feed does not advance to the revision of an empty poll
    Given a feed of a kind with the objects a
    When polls return no changes while b is stored
    And polls return changes again
    Then the feed knows a, b

  Scenario: after an outage the feed lists again and reports the recovery of the store
    Given a feed of a kind with the objects a
    When the store is unavailable while b is stored and a is removed
    Then the feed knows b
    And the feed has reported the recovery of the store once

  # Guards against entries that lapsed during an outage and are not kept, because their feed has not called the store itself.
  Scenario: a feed that waits for another one to reach the store reports the recovery as well
    Given a feed of a kind with the objects a
    When two feeds of one VM start during an outage of 50 ms
    Then both have reported the recovery of the store, and listed their kinds with 3 calls

  Scenario: a response that reports a dropped history does not confirm the objects
    Given a feed of a kind with the objects a
    When the history is dropped while lists fail
    Then no response since then counts as a confirmation

  Scenario: an idle feed lists again before the history drops its position
    Given a feed of a kind with the objects a
    When 600 ms pass in the feed
    Then the feed has listed at least 2 times

  # Guards against store calls without a pause while lists are older than what has been read.
  Scenario: a list that is older than what has been read is discarded and repeated after a pause
    Given a feed of a kind with the objects a
    When lists are from before the objects b, c for 1000 ms
    Then the feed knows a, b, c
    And the feed has listed at most 3 times meanwhile

  # Guards against an older state of an object that replaces a newer one, because the pages of a list are of different revisions.
  Scenario: changes that are older than a listed object are not applied after the list
    Given a store whose list holds a at revision 12 and is complete up to revision 9
    When a feed reads the changes a at 10, b at 11, a at 12, a at 13
    Then it has applied b at 11, a at 12, a at 13
