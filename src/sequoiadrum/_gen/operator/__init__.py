__all__ = ['ttypes', 'constants', 'Operator']
