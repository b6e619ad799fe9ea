Feature: Callers and operators are served over TLS when certificate files are set
  Keys and operator credentials must not be transmitted unencrypted.

  Scenario: TLS on the caller and operator ports
    Given a certificate that signs itself
    And a deployment of 1 daemon that uses it
    Then a caller that trusts it gets an answer
    And a caller that does not trust it gets none
    And a caller without TLS gets none
    And an operator that trusts it reads the status
    And an operator without TLS reads none
