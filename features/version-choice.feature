Feature: Version choice

  Scenario Outline: version choice rejects <request> with <error>
    Given version choice between the models of one alias
    When version choice is asked for <request>
    Then version choice returns "<error>"

    Examples:
      | request                                    | error                |
      | a model that does not exist                | unknown_model        |
      | a model outside the contract               | model_not_permitted  |
      | a model whose versions are withdrawn       | no_permitted_version |
      | a model with no version in the contract    | no_permitted_version |
      | a prompt larger than every context window  | prompt_too_large     |
      | a tier above the most expensive            | no_permitted_version |

  Scenario Outline: version choice selects <version> for <request>
    Given version choice between the models of one alias
    When version choice is asked for <request>
    Then version choice returns "<version>"

    Examples:
      | request                                       | version |
      | the alias                                     | small-1 |
      | a prompt larger than the cheap tier's window  | large-1 |
      | the alias after the cheap tier was tried      | large-1 |
      | the expensive model by name                   | large-1 |
      | the alias when the cheap version is withdrawn | large-1 |

  Scenario Outline: a chosen version is still permitted at dispatch when <event>: <permitted>
    Given version choice between the models of one alias
    When version choice is asked for the alias
    And version choice meets that <event>
    Then version choice is permitted: <permitted>

    Examples:
      | event                              | permitted |
      | nothing changed                    | yes       |
      | the version is withdrawn           | no        |
      | the contract drops the model       | no        |
      | the contract lists other versions  | no        |
      | the contract is deleted            | no        |

  Scenario: version choice returns only permitted versions for any contract
    Then version choice only returns versions that the contract permits
