@silence
Feature: Sound backend servers that fall silent for about a second

  # Guards against answers that are cut, and orders that fail, because a silent backend server is taken for one that has crashed.
  Scenario Outline: requests at <servers> backend servers of which one is silent for <ms> ms are answered whole
    Given a VM with <servers> backend servers that can fall silent
    When callers send orders, reads and streams before and while the first one is silent for <ms> ms
    Then every caller gets a whole answer, and the backend servers got each order once
    And none of them was taken for crashed, and the first one gets requests again

    Examples:
      | servers | ms   |
      | 1       | 1000 |
      | 1       | 1500 |
      | 2       | 1000 |
      | 2       | 1500 |
