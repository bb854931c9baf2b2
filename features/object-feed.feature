@object-feed
Feature: Feeds of the store

  Scenario: changes arrive in order
    Given a feed of a kind with the objects a
    When the objects b, c are stored and a is removed
    Then the feed knows b, c

  Scenario: a change that an empty poll missed is found when the history is gone
    Given a feed of a kind with the objects a
    When polls hear nothing while b is stored
    And the history is dropped
    Then the feed knows a, b

  Scenario: a position that an empty poll reported is not trusted
    Given a feed of a kind with the objects a
    When polls hear nothing while b is stored
    And polls hear again
    Then the feed knows a, b

  Scenario: after an outage the feed lists again and tells that the store is back
    Given a feed of a kind with the objects a
    When the store is away while b is stored and a is removed
    Then the feed knows b
    And the feed has told once that the store is back

  Scenario: a dropped history proves nothing about the present
    Given a feed of a kind with the objects a
    When the history is dropped while lists fail
    Then no answer since then counts as current

  Scenario: an idle feed lists before the history passes its position
    Given a feed of a kind with the objects a
    When 600 ms pass in the feed
    Then the feed has listed at least 2 times
