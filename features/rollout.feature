Feature: Rollout

  Scenario Outline: a rollout of a version that <fault> is stopped and rolled back
    Given rollout of a version that <fault>
    When rollout runs for up to 3600 s
    Then rollout state is "rolled_back" because of "<reason>"
    And rollout weights are 1 for the old version and 0 for the withdrawn new one

    Examples:
      | fault                                    | reason   |
      | fails one in five requests               | failures |
      | fails one in five requests after 200 s   | failures |
      | is three times as slow                   | latency  |
      | is rated 0.2 lower                       | ratings  |

  Scenario Outline: a rollout of a version that <behaviour> is completed
    Given rollout of a version that <behaviour>
    When rollout runs for up to 7200 s
    Then rollout state is "done"
    And rollout weights are 0 for the old version and 1 for the new one

    Examples:
      | behaviour                                  |
      | is as good as the old one                  |
      | fails as often as the old one in an outage |

  Scenario: a rollout returns traffic to the old version when both versions fail in the last stage
    Given rollout of a version that fails together with the old one in the last stage
    When rollout runs for up to 7200 s
    Then rollout state is "done"
    And rollout reverted a stage

  Scenario Outline: a rollout continues on another VM after a controller crash when <moment>
    Given rollout of a version that <behaviour>
    When rollout runs until <moment>
    And rollout controller crashes and another VM takes over
    And rollout runs for up to 7200 s
    Then rollout state is "<state>"

    Examples:
      | behaviour                  | moment                                     | state       |
      | is as good as the old one  | stage 2 is recorded                        | done        |
      | is as good as the old one  | stage 2 is written to one version only     | done        |
      | fails one in five requests | it is stopped                              | rolled_back |
      | fails one in five requests | only the old version got its weight back   | rolled_back |

  Scenario Outline: a rollout ends as <state> when an operator <change> while the controller decides
    Given rollout of a version that <behaviour>
    When rollout runs until stage 2 is recorded
    And rollout operator <change> while the controller decides
    And rollout runs for up to 7200 s
    Then rollout state is "<state>"

    Examples:
      | behaviour                 | change                                    | state       |
      | is as good as the old one | pauses it                                 | paused      |
      | is as good as the old one | pauses and resumes it                     | done        |
      | is as good as the old one | stops it                                  | rolled_back |
      | is as good as the old one | sets the weight of the new version to 0.3 | paused      |
      | is as good as the old one | withdraws the new version                 | rolled_back |
      | is as good as the old one | withdraws the old version and stops it    | paused      |

  Scenario: a rollout is not changed by a VM that is no longer the controller
    Given rollout of a version that is as good as the old one
    When rollout runs until stage 2 is recorded
    And rollout controller loses its role between two writes
    Then rollout has one version at the weight of stage 2 and records stage 1 as applied

  Scenario: rollout evidence reaches the limit only for a version that is worse than the other
    Then rollout evidence is not positive without a difference and grows with each event
    And rollout evidence stops within 250 requests a version that degrades after 20000 good ones
    And rollout evidence stays below the limit when both versions begin to fail nine in ten requests
