Feature: Cascade

  Scenario Outline: cascade starts at tier <tier> when the cheap tier's quality is <quality>
    Given cascade of a cheap and an expensive tier with target 0.8
    When cascade has observed 300 answers rated <quality> for the cheap and 0.95 for the expensive tier
    Then cascade starts most requests at tier <tier>

    Examples:
      | quality | tier |
      | 0.9     | 0    |
      | 0.5     | 1    |

  Scenario: cascade escalates answers with a low confidence when confidence predicts quality
    Given cascade of a cheap and an expensive tier with target 0.8
    When cascade has observed 1000 answers of the cheap tier whose rating equals their confidence
    Then cascade starts most requests at tier 0
    And cascade escalates an answer of confidence 0.1 and keeps one of 0.95

  Scenario: cascade without any rating starts at the tier that is expected to reach the target
    Given cascade of a cheap and an expensive tier with target 0.8
    Then cascade starts most requests at tier 1

  Scenario: cascade explores at most the contract's share of requests and escalates the explored answers
    Given cascade of a cheap and an expensive tier with target 0.8
    Then cascade starts at most 2 in 100 requests at tier 0 and escalates all of them

  Scenario Outline: cascade does not escalate with <condition>
    Given cascade of a cheap and an expensive tier with target 0.8
    When cascade has observed 1000 answers of the cheap tier whose rating equals their confidence
    Then cascade keeps an answer of confidence 0.1 with <condition>

    Examples:
      | condition              |
      | no time left           |
      | no more expensive tier |

  Scenario: cascade detects a version whose quality falls
    Given cascade of a cheap and an expensive tier with target 0.8
    When cascade has observed 2000 answers rated 0.9 for the cheap and 0.95 for the expensive tier
    And cascade has observed 3000 answers rated 0.5 for the cheap and 0.95 for the expensive tier
    Then cascade starts most requests at tier 1

  Scenario: cascade plans meet the quality target for any estimates
    Then cascade plans are the cheapest that reach the target for any estimates
