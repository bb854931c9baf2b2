Feature: Configuration

  Scenario: configuration replicas converge to the newest state when records arrive in any order and repeatedly
    Then configuration replicas converge after 300 random orders of writes and deletions

  Scenario Outline: an outdated configuration record is ignored: <case>
    Given a configuration replica with Model/m at 10 and Model/gone deleted at 20
    When the configuration replica <completes> and receives <name> of <version>
    Then the configuration replica has Model/m at 10 and no Model/gone

    Examples:
      | case                       | completes         | name | version |
      | older version              | is incomplete     | m    | 9       |
      | same version               | is incomplete     | m    | 10      |
      | before its deletion        | is incomplete     | gone | 15      |
      | its tombstone was dropped  | is complete to 30 | gone | 15      |
      | never seen, deleted before | is complete to 30 | old  | 25      |

  Scenario Outline: a configuration change is refused: <case>
    Given configuration VMs a1
    And the configuration contains models, versions, a contract and a rollout
    When the configuration change "<change>" is made on a1
    Then the configuration change is refused with "<problem>"
    And the configuration check of the same change reports the same problems and stores nothing

    Examples:
      | case                        | change                                                                     | problem                                                       |
      | unknown model               | Contract/x team=x keys=[k] models=[nope] spendLimitMicros=1                | Contract/x models.0: names Model/nope, which does not exist   |
      | version not allowed         | Contract/x team=x keys=[k] models=[small] versions=[big-1] spendLimitMicros=1 | Contract/x versions.0: names a version of model big        |
      | second contract of a team   | Contract/x team=team-a keys=[k] models=[small] spendLimitMicros=1          | Contract/x team: the team team-a is already defined in Contract/team-a |
      | key used by two teams       | Contract/x team=x keys=[a] models=[small] spendLimitMicros=1               | is already defined in Contract/team-a                         |
      | version of an unknown model | Version/v model=nope inputMicrosPerToken=1 outputMicrosPerToken=1          | Version/v model: names Model/nope                             |
      | rollout across models       | Rollout/r model=big from=big-1 to=small-1                                  | Rollout/r to: is a version of model small, but the rollout is of model big |
      | second rollout of a model   | Rollout/r model=small from=small-1 to=small-2                              | an unfinished rollout of the model small is already defined in Rollout/small-2 |
      | stages not ascending        | Rollout/r model=big from=big-1 to=big-1 stages=[0.5,0.1]                   | Rollout/r stages: the shares must be strictly ascending       |
      | unknown data centre         | BackendServer/b dataCentre=nope address=10.0.0.1:1                         | BackendServer/b dataCentre: names DataCentre/nope             |
      | unknown field               | Model/x tyer=1                                                             | Unrecognized key                                              |
      | invalid name                | Model/X tier=1                                                             | a name has at most 63 lower-case letters                      |
      | deleting a used model       | Model/small deleted                                                        | Model/small: cannot be deleted while Contract/team-a names it in models.0 |
      | deleting a used version     | Version/small-2 deleted                                                    | cannot be deleted while Rollout/small-2 names it in to        |

  Scenario: configuration objects that refer to each other are accepted in one call, and a version in a rollout can be withdrawn
    Given configuration VMs a1
    And the configuration contains models, versions, a contract and a rollout
    When the configuration change "Version/small-2 model=small inputMicrosPerToken=1 outputMicrosPerToken=1 state=withdrawn" is made on a1
    Then the configuration change is accepted

  Scenario Outline: only one of two concurrent changes of a configuration object on two VMs is accepted: <race>
    Given configuration VMs a1 a2
    And the configuration contains models, versions, a contract and a rollout
    When two configuration changes race to <race> on a1 and a2
    Then one configuration change is accepted and the other is refused with its revision
    And the configuration of all VMs is equal to the object API

    Examples:
      | race              |
      | create Model/new  |
      | update Model/big  |

  Scenario Outline: a configuration change that meets <fault> of the object API ends with <outcome>
    Given configuration VMs a1 a2
    And the configuration contains models, versions, a contract and a rollout
    When the configuration change "Model/new tier=1" on a1 meets <fault>
    Then the configuration change ends with <outcome>
    And the configuration of all VMs is equal to the object API

    Examples:
      | fault         | outcome                |
      | an outage     | config_unavailable     |
      | a lost answer | config_outcome_unknown |

  Scenario: a configuration VM that starts during an outage loads the newest objects from its peers
    Given configuration VMs a1 a4 a5 a2
    And the configuration contains models, versions, a contract and a rollout
    And only a1 receives the configuration change of Model/big to tier 5, only a2 the deletion of Model/spare, and the object API fails
    When the configuration VM a3 starts
    Then the configuration of a3 is ready with Model/big tier 5 and without Model/spare

  Scenario: a configuration VM is not ready until the object API or a peer with a loaded configuration answers
    Given configuration VMs a1
    And the configuration contains models, versions, a contract and a rollout
    And the object API of the configuration fails and a1 is unreachable
    When the configuration VM a3 starts
    Then the configuration of a3 is not ready and refuses changes
    When the object API of the configuration is available again
    Then the configuration of a3 is ready

  Scenario Outline: lost configuration pushes are repaired by <repair>
    Given configuration VMs a1 a2 a3 b1
    And the configuration contains models, versions, a contract and a rollout
    When the configuration pushes are lost and a1 changes Model/big and a2 deletes Model/spare
    And the configuration is repaired by <repair>
    Then the configuration of all VMs is equal to the object API

    Examples:
      | repair           |
      | pings alone      |
      | watches and pings |

  Scenario: a configuration VM that missed a deletion applies it after its tombstone was dropped
    Given configuration VMs a1 a2 a3 a4
    And the configuration contains models, versions, a contract and a rollout
    When the configuration VM a4 is unreachable while Model/spare is deleted and its tombstone is dropped
    And the object API of the configuration fails and a4 becomes reachable again
    Then the configuration of all VMs is equal to the object API

  Scenario: the configuration is watched by two VMs of each data centre
    Given configuration VMs a1 a2 a3 b1
    Then the configuration is watched by a1 a2 b1
    When the configuration VM a1 leaves
    Then the configuration is watched by a2 a3 b1
    When the configuration VM a2 dies
    Then the configuration is watched by a3 b1

  Scenario: after the object API compacted its history, a configuration watch lists all objects and finds changes and deletions
    Given configuration VMs a1
    And the configuration contains models, versions, a contract and a rollout
    When the configuration watch is interrupted while another client updates Model/big and deletes Model/spare, and history is compacted
    Then the configuration of all VMs is equal to the object API

  Scenario: a configuration object that another client writes reaches the VMs that do not watch the object API
    Given configuration VMs a1 a2 a3
    And the configuration contains models, versions, a contract and a rollout
    When another client updates Model/big in the object API of the configuration
    Then the configuration of all VMs is equal to the object API

  Scenario: the report of the configuration in force names the VMs that lack a revision
    Given configuration VMs a1 a2 a3
    And the configuration contains models, versions, a contract and a rollout
    When the configuration VM a3 is unreachable and a1 changes Model/big
    Then the configuration revision is in force on a1 a2 and missing on a3

  Scenario: a configuration revision is in force on a VM only with all earlier changes, and on no VM before it exists
    Given configuration VMs a1 a2 a3
    And the configuration contains models, versions, a contract and a rollout
    When the configuration push of the first of two changes to a3 is lost
    Then the configuration revision is in force on a1 a2 and missing on a3
    And the configuration revision after the newest one is in force on no VM

  Scenario Outline: a configuration object that another client wrote comes into force only if it is valid: <case>
    Given configuration VMs a1 a2 a3
    And the configuration contains models, versions, a contract and a rollout
    When another client writes Model/big with <spec> to the object API of the configuration
    Then the configuration of every VM has Model/big with <tier> and reports <invalid> invalid objects

    Examples:
      | case            | spec           | tier | invalid |
      | wrong type      | {"tier":"two"} | 1    | 1       |
      | unknown field   | {"teir":2}     | 1    | 1       |
      | defaults absent | {"tier":2}     | 2    | 0       |
